package org.acaciapond.membership.internal;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MembershipBody;
import org.acaciapond.membership.NodeAddress;
import org.jspecify.annotations.Nullable;

/**
 * Sender of probes: to each member of the same failure domain in turn, and to random members of
 * other domains.
 */
public final class Prober {

  /** Number of members asked to probe a member that did not answer directly. */
  private static final int INDIRECT_PROBES = 3;

  private static final int MAX_RELAYED_PROBES = 1_024;

  private final GossipContext context;
  private final DomainReachability domains;
  private final Consumer<String> onProbeTimeout;
  private final Map<Long, Probe> probes = new LinkedHashMap<>();
  private final Map<Long, RelayedProbe> relayedProbes = new HashMap<>();
  private List<String> probeOrder = new ArrayList<>();
  private long sequence;
  private long nextProbeMs;
  private long nextCrossDomainMs;

  private static final class Probe {
    final String hostId;
    final NodeAddress address;
    final long sentAtMs;
    boolean indirectSent;

    Probe(Member member, long nowMs) {
      this.hostId = member.hostId();
      this.address = NodeAddress.of(member);
      this.sentAtMs = nowMs;
    }
  }

  private record RelayedProbe(NodeAddress requester, long sequence, long sentAtMs) {}

  /**
   * Creates a prober.
   *
   * @param context shared state
   * @param domains reachability of the other failure domains
   * @param onProbeTimeout receives the host id of a member that did not answer within the probe
   *     timeout
   */
  public Prober(
      GossipContext context, DomainReachability domains, Consumer<String> onProbeTimeout) {
    this.context = context;
    this.domains = domains;
    this.onProbeTimeout = onProbeTimeout;
    this.nextProbeMs = context.nowMs() + randomDelay(context.settings.probeIntervalMs());
    this.nextCrossDomainMs =
        context.nowMs() + randomDelay(context.settings.crossDomainIntervalMs());
  }

  private long randomDelay(long intervalMs) {
    return context.random.nextLong(intervalMs);
  }

  /** Sends the probes that are due and reports members that did not answer in time. */
  public void tick() {
    expireProbes();
    long nowMs = context.nowMs();
    if (nowMs >= nextProbeMs) {
      nextProbeMs = nowMs + context.settings.probeIntervalMs();
      probeNext();
    }
    if (nowMs >= nextCrossDomainMs) {
      nextCrossDomainMs = nowMs + context.jitter(context.settings.crossDomainIntervalMs());
      probeOtherDomains();
    }
  }

  /**
   * Discards all pending probes after a pause of this process, which read no responses meanwhile.
   */
  public void reset() {
    probes.clear();
    relayedProbes.clear();
  }

  private void expireProbes() {
    long nowMs = context.nowMs();
    Iterator<Probe> iterator = probes.values().iterator();
    List<String> timedOut = new ArrayList<>();
    for (Map.Entry<Long, Probe> entry : probes.entrySet()) {
      Probe probe = entry.getValue();
      if (!probe.indirectSent && nowMs - probe.sentAtMs >= context.settings.ackTimeoutMs()) {
        probe.indirectSent = true;
        probeIndirectly(entry.getKey(), probe);
      }
    }
    while (iterator.hasNext()) {
      Probe probe = iterator.next();
      if (nowMs - probe.sentAtMs >= context.settings.probeTimeoutMs()) {
        iterator.remove();
        timedOut.add(probe.hostId);
      }
    }
    relayedProbes.values().removeIf(r -> nowMs - r.sentAtMs() >= context.settings.probeTimeoutMs());
    timedOut.forEach(onProbeTimeout);
  }

  private void probeNext() {
    MemberEntry target = nextTarget();
    if (target == null) {
      return;
    }
    Probe probe = new Probe(target.member(), context.nowMs());
    probes.put(++sequence, probe);
    PacketBuilder packet = new PacketBuilder(context.self(), new MembershipBody.Ping(sequence));
    if (target.member().state() == org.acaciapond.membership.MemberState.SUSPECT) {
      packet.add(target.member());
    }
    context.sendWithUpdates(probe.address, packet);
  }

  /** Returns the next member of a shuffled round; each member is probed once per round. */
  private @Nullable MemberEntry nextTarget() {
    for (int attempt = 0; attempt < 2; attempt++) {
      while (!probeOrder.isEmpty()) {
        MemberEntry entry = context.table.get(probeOrder.remove(probeOrder.size() - 1));
        if (entry != null && !entry.isTombstone() && !context.isSelf(entry.member())) {
          return entry;
        }
      }
      startProbeRound();
    }
    return null;
  }

  private void startProbeRound() {
    List<String> hostIds = new ArrayList<>();
    for (MemberEntry entry : context.table.liveMembers(context.self().failureDomain())) {
      hostIds.add(entry.member().hostId());
    }
    Collections.sort(hostIds);
    Collections.shuffle(hostIds, new Random(context.random.nextLong()));
    probeOrder = hostIds;
  }

  private void probeIndirectly(long probeSequence, Probe probe) {
    for (int i = 0; i < INDIRECT_PROBES; i++) {
      MemberEntry helper =
          context.table.randomInDomain(
              context.self().failureDomain(), context.self().hostId(), context.random);
      if (helper != null && !helper.member().hostId().equals(probe.hostId)) {
        context.sendWithUpdates(
            NodeAddress.of(helper.member()),
            new MembershipBody.PingRequest(probeSequence, probe.address));
      }
    }
  }

  /** Sends a probe without a timeout; a response shows that the node can be reached. */
  public void sendUntrackedPing(NodeAddress address) {
    context.sendWithUpdates(address, new MembershipBody.Ping(++sequence));
  }

  private void probeOtherDomains() {
    MemberEntry target =
        context.table.randomOutside(context.self().failureDomain(), context.random);
    if (target != null) {
      sendUntrackedPing(NodeAddress.of(target.member()));
    }
    NodeAddress forgotten = domains.forgottenAddress(context.random);
    if (forgotten != null) {
      sendUntrackedPing(forgotten);
    }
  }

  /** Probes a member on behalf of another node. */
  public void onPingRequest(NodeAddress requester, MembershipBody.PingRequest request) {
    if (relayedProbes.size() >= MAX_RELAYED_PROBES) {
      return;
    }
    relayedProbes.put(++sequence, new RelayedProbe(requester, request.sequence(), context.nowMs()));
    context.sendWithUpdates(request.target(), new MembershipBody.Ping(sequence));
  }

  /** Completes a probe; forwards the response if the probe was sent on behalf of another node. */
  public void onAck(MembershipBody.Ack ack) {
    probes.remove(ack.sequence());
    RelayedProbe origin = relayedProbes.remove(ack.sequence());
    if (origin != null) {
      context.sendWithUpdates(origin.requester(), new MembershipBody.Ack(origin.sequence()));
    }
  }
}
