package org.acaciapond.bench.membership;

import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MembershipPacket;
import org.acaciapond.membership.MembershipSettings;
import org.acaciapond.membership.virtual.VirtualFleet;
import org.acaciapond.membership.virtual.VirtualNode;

/** Start, steady state, failure, leave and restart of a failure domain, one after another. */
public final class MembershipExperiment {

  private static final long LIMIT_MS = 600_000;
  private static final long SETTLE_MS = 120_000;
  private static final long STEADY_MS = 120_000;
  private static final long DOWN_MS = 2_000;
  private static final int WINDOW_MS = 1_000;

  private final VirtualFleet fleet;
  private final int members;
  private final long seed;

  /**
   * Creates an experiment.
   *
   * @param settings intervals of the protocol
   * @param members number of members
   * @param domains number of failure domains
   * @param seed seed of all random choices
   * @param sizeOf bytes of a packet on the wire
   */
  public MembershipExperiment(
      MembershipSettings settings,
      int members,
      int domains,
      long seed,
      ToIntFunction<MembershipPacket> sizeOf) {
    this.members = members;
    this.seed = seed;
    this.fleet = new VirtualFleet(settings, seed, sizeOf);
    for (int i = 0; i < members; i++) {
      fleet.add("domain-" + i % domains, "service-" + i % 40);
    }
  }

  /** Runs the experiment and returns its figures. */
  public JsonObject run() {
    JsonObject figures = new JsonObject().put("members", members).put("seed", seed);
    Traffic start = new Traffic();
    figures.put("start_converged_ms", start.runUntilConverged());
    start.report("start", figures);
    fleet.run(SETTLE_MS);
    measureSteadyState(figures);
    measureFailure(figures);
    measureLeave(figures);
    measureDomainRestart(figures);
    figures.put("largest_packet_bytes", fleet.largestPacketBytes());
    return figures;
  }

  private void measureSteadyState(JsonObject figures) {
    long before = sentBytes();
    fleet.run(STEADY_MS);
    figures.put("steady_bytes_per_node_s", rate(sentBytes() - before, STEADY_MS));
  }

  private double rate(long bytes, long durationMs) {
    return Math.round(bytes * 10_000.0 / members / Math.max(1, durationMs)) / 10.0;
  }

  private long sentBytes() {
    return fleet.nodes().stream().mapToLong(VirtualNode::sentBytes).sum();
  }

  private void measureFailure(JsonObject figures) {
    VirtualNode failed = fleet.running().get(members / 2);
    long before = sentBytes();
    long startMs = fleet.nowMs();
    fleet.crash(failed);
    figures.put("failure_known_to_all_ms", runUntilNobodySees(failed, member -> true));
    figures.put("failure_bytes_per_node_s", rate(sentBytes() - before, fleet.nowMs() - startMs));
    fleet.restart(failed);
    fleet.runUntil(fleet::hasConverged, LIMIT_MS);
  }

  private void measureLeave(JsonObject figures) {
    VirtualNode leaver = fleet.running().get(members / 3);
    fleet.leave(leaver);
    figures.put(
        "leave_known_to_all_ms",
        runUntilNobodySees(leaver, member -> member.state().acceptsWork()));
    fleet.run(SETTLE_MS);
    fleet.restart(leaver);
    fleet.runUntil(fleet::hasConverged, LIMIT_MS);
  }

  private long runUntilNobodySees(VirtualNode node, Predicate<Member> counts) {
    return fleet.runUntil(
        () ->
            fleet.running().stream()
                .filter(observer -> observer != node)
                .noneMatch(
                    observer ->
                        observer.state().domainMembers(node.failureDomain()).stream()
                            .anyMatch(m -> m.hostId().equals(node.hostId()) && counts.test(m))),
        LIMIT_MS);
  }

  private void measureDomainRestart(JsonObject figures) {
    List<VirtualNode> domain =
        fleet.running().stream().filter(node -> node.failureDomain().equals("domain-0")).toList();
    domain.forEach(fleet::crash);
    fleet.run(DOWN_MS);
    Traffic traffic = new Traffic();
    domain.forEach(fleet::restart);
    figures.put("domain_restart_members", domain.size());
    figures.put("domain_restart_converged_ms", traffic.runUntilConverged());
    traffic.report("domain_restart", figures);
  }

  /** Bytes sent from its creation on, in windows of one second. */
  private final class Traffic {
    private final long startMs = fleet.nowMs();
    private final long startBytes = sentBytes();
    private long peakNodeBytes;

    long runUntilConverged() {
      while (fleet.nowMs() - startMs <= LIMIT_MS) {
        if (fleet.hasConverged()) {
          return fleet.nowMs() - startMs;
        }
        List<VirtualNode> nodes = List.copyOf(fleet.nodes());
        long[] before = nodes.stream().mapToLong(VirtualNode::sentBytes).toArray();
        fleet.run(WINDOW_MS);
        for (int i = 0; i < before.length; i++) {
          peakNodeBytes = Math.max(peakNodeBytes, nodes.get(i).sentBytes() - before[i]);
        }
      }
      return -1;
    }

    void report(String prefix, JsonObject figures) {
      long bytes = sentBytes() - startBytes;
      figures.put(prefix + "_kb_per_node", Math.round(bytes / 102.4 / members) / 10.0);
      figures.put(prefix + "_peak_kb_of_a_node_s", Math.round(peakNodeBytes / 102.4) / 10.0);
    }
  }
}
