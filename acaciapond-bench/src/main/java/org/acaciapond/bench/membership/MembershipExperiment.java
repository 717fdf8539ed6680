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

/**
 * Experiment that measures, one after another, the start, the steady state, a failure, a leave and
 * the restart of a failure domain of a fleet.
 */
public final class MembershipExperiment {

  private static final long CONVERGENCE_LIMIT_MS = 600_000;
  private static final long STABILIZATION_MS = 120_000;
  private static final long STEADY_STATE_MS = 120_000;
  private static final long DOWNTIME_MS = 2_000;
  private static final int TRAFFIC_WINDOW_MS = 1_000;

  private final VirtualFleet fleet;
  private final int members;
  private final long seed;

  /**
   * Creates an experiment.
   *
   * @param settings settings of the protocol
   * @param members number of members
   * @param domains number of failure domains
   * @param seed seed of the random number generator
   * @param sizeOf function that returns the bytes of a packet on the wire
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

  /** Runs the experiment and returns its results. */
  public JsonObject run() {
    JsonObject results = new JsonObject().put("members", members).put("seed", seed);
    TrafficMeter start = new TrafficMeter();
    results.put("start_converged_ms", start.runUntilConverged());
    start.putResults("start", results);
    fleet.run(STABILIZATION_MS);
    measureSteadyState(results);
    measureFailure(results);
    measureLeave(results);
    measureDomainRestart(results);
    results.put("largest_packet_bytes", fleet.largestPacketBytes());
    return results;
  }

  private void measureSteadyState(JsonObject results) {
    long before = sentBytes();
    fleet.run(STEADY_STATE_MS);
    results.put(
        "steady_bytes_per_node_s", bytesPerNodeAndSecond(sentBytes() - before, STEADY_STATE_MS));
  }

  private double bytesPerNodeAndSecond(long bytes, long durationMs) {
    return Math.round(bytes * 10_000.0 / members / Math.max(1, durationMs)) / 10.0;
  }

  private long sentBytes() {
    return fleet.nodes().stream().mapToLong(VirtualNode::sentBytes).sum();
  }

  private void measureFailure(JsonObject results) {
    VirtualNode failed = fleet.running().get(members / 2);
    long before = sentBytes();
    long startMs = fleet.nowMs();
    fleet.crash(failed);
    results.put("failure_known_to_all_ms", runUntilUnseen(failed, member -> true));
    results.put(
        "failure_bytes_per_node_s",
        bytesPerNodeAndSecond(sentBytes() - before, fleet.nowMs() - startMs));
    fleet.restart(failed);
    fleet.runUntil(fleet::hasConverged, CONVERGENCE_LIMIT_MS);
  }

  private void measureLeave(JsonObject results) {
    VirtualNode leaving = fleet.running().get(members / 3);
    fleet.leave(leaving);
    results.put(
        "leave_known_to_all_ms", runUntilUnseen(leaving, member -> member.state().acceptsWork()));
    fleet.run(STABILIZATION_MS);
    fleet.restart(leaving);
    fleet.runUntil(fleet::hasConverged, CONVERGENCE_LIMIT_MS);
  }

  private long runUntilUnseen(VirtualNode node, Predicate<Member> condition) {
    return fleet.runUntil(
        () ->
            fleet.running().stream()
                .filter(observer -> observer != node)
                .noneMatch(
                    observer ->
                        observer.state().domainMembers(node.failureDomain()).stream()
                            .anyMatch(m -> m.hostId().equals(node.hostId()) && condition.test(m))),
        CONVERGENCE_LIMIT_MS);
  }

  private void measureDomainRestart(JsonObject results) {
    List<VirtualNode> domain =
        fleet.running().stream().filter(node -> node.failureDomain().equals("domain-0")).toList();
    domain.forEach(fleet::crash);
    fleet.run(DOWNTIME_MS);
    TrafficMeter traffic = new TrafficMeter();
    domain.forEach(fleet::restart);
    results.put("domain_restart_members", domain.size());
    results.put("domain_restart_converged_ms", traffic.runUntilConverged());
    traffic.putResults("domain_restart", results);
  }

  /** Meter of the bytes sent since its creation, in windows of one second. */
  private final class TrafficMeter {
    private final long startMs = fleet.nowMs();
    private final long startBytes = sentBytes();
    private long peakNodeBytes;

    long runUntilConverged() {
      while (fleet.nowMs() - startMs <= CONVERGENCE_LIMIT_MS) {
        if (fleet.hasConverged()) {
          return fleet.nowMs() - startMs;
        }
        List<VirtualNode> nodes = List.copyOf(fleet.nodes());
        long[] before = nodes.stream().mapToLong(VirtualNode::sentBytes).toArray();
        fleet.run(TRAFFIC_WINDOW_MS);
        for (int i = 0; i < before.length; i++) {
          peakNodeBytes = Math.max(peakNodeBytes, nodes.get(i).sentBytes() - before[i]);
        }
      }
      return -1;
    }

    void putResults(String prefix, JsonObject results) {
      long bytes = sentBytes() - startBytes;
      results.put(prefix + "_kb_per_node", Math.round(bytes / 102.4 / members) / 10.0);
      results.put(prefix + "_peak_kb_of_a_node_s", Math.round(peakNodeBytes / 102.4) / 10.0);
    }
  }
}
