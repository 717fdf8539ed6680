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

/** Probes of the members of the own failure domain and exchange with the others. */
public final class Prober {

  private static final int INDIRECT_PROBES = 3;
  private static final int MAX_RELAYED = 1_024;

  private final Exchange exchange;
  private final DomainReach domains;
  private final Consumer<String> onSilent;
  private final Map<Long, Probe> probes = new LinkedHashMap<>();
  private final Map<Long, Relayed> relayed = new HashMap<>();
  private List<String> round = new ArrayList<>();
  private long sequence;
  private long nextProbeMs;
  private long nextExchangeMs;

  private static final class Probe {
    final String hostId;
    final NodeAddress address;
    final long sentAtMs;
    boolean indirect;

    Probe(Member member, long nowMs) {
      this.hostId = member.hostId();
      this.address = NodeAddress.of(member);
      this.sentAtMs = nowMs;
    }
  }

  private record Relayed(NodeAddress requester, long sequence, long sentAtMs) {}

  /**
   * Creates a prober.
   *
   * @param exchange shared state
   * @param domains failure domains that were heard of
   * @param onSilent receives the host id of a member that did not answer in time
   */
  public Prober(Exchange exchange, DomainReach domains, Consumer<String> onSilent) {
    this.exchange = exchange;
    this.domains = domains;
    this.onSilent = onSilent;
    this.nextProbeMs = exchange.nowMs() + jittered(exchange.settings.probeIntervalMs());
    this.nextExchangeMs = exchange.nowMs() + jittered(exchange.settings.exchangeIntervalMs());
  }

  private long jittered(long intervalMs) {
    return exchange.random.nextLong(intervalMs);
  }

  /** Sends what is due and reports members that did not answer. */
  public void tick() {
    expire();
    long nowMs = exchange.nowMs();
    if (nowMs >= nextProbeMs) {
      nextProbeMs = nowMs + exchange.settings.probeIntervalMs();
      probeNext();
    }
    if (nowMs >= nextExchangeMs) {
      nextExchangeMs = nowMs + exchange.jitter(exchange.settings.exchangeIntervalMs());
      exchangeOutside();
    }
  }

  /** Forgets all probes under way, after a pause in which no answer could be read. */
  public void reset() {
    probes.clear();
    relayed.clear();
  }

  private void expire() {
    long nowMs = exchange.nowMs();
    Iterator<Probe> iterator = probes.values().iterator();
    List<String> silent = new ArrayList<>();
    for (Map.Entry<Long, Probe> entry : probes.entrySet()) {
      Probe probe = entry.getValue();
      if (!probe.indirect && nowMs - probe.sentAtMs >= exchange.settings.ackTimeoutMs()) {
        probe.indirect = true;
        probeIndirectly(entry.getKey(), probe);
      }
    }
    while (iterator.hasNext()) {
      Probe probe = iterator.next();
      if (nowMs - probe.sentAtMs >= exchange.settings.probeTimeoutMs()) {
        iterator.remove();
        silent.add(probe.hostId);
      }
    }
    relayed.values().removeIf(r -> nowMs - r.sentAtMs() >= exchange.settings.probeTimeoutMs());
    silent.forEach(onSilent);
  }

  private void probeNext() {
    MemberEntry target = nextTarget();
    if (target == null) {
      return;
    }
    Probe probe = new Probe(target.member(), exchange.nowMs());
    probes.put(++sequence, probe);
    PacketBuilder packet = new PacketBuilder(exchange.self(), new MembershipBody.Ping(sequence));
    if (target.member().state() == org.acaciapond.membership.MemberState.SUSPECT) {
      packet.add(target.member());
    }
    exchange.sendWithUpdates(probe.address, packet);
  }

  /** Returns the next member of a shuffled round, so that each is probed once in each round. */
  private @Nullable MemberEntry nextTarget() {
    for (int attempt = 0; attempt < 2; attempt++) {
      while (!round.isEmpty()) {
        MemberEntry entry = exchange.table.get(round.remove(round.size() - 1));
        if (entry != null && !entry.isTombstone() && !exchange.isSelf(entry.member())) {
          return entry;
        }
      }
      startRound();
    }
    return null;
  }

  private void startRound() {
    List<String> hostIds = new ArrayList<>();
    for (MemberEntry entry : exchange.table.live(exchange.self().failureDomain())) {
      hostIds.add(entry.member().hostId());
    }
    Collections.sort(hostIds);
    Collections.shuffle(hostIds, new Random(exchange.random.nextLong()));
    round = hostIds;
  }

  private void probeIndirectly(long number, Probe probe) {
    for (int i = 0; i < INDIRECT_PROBES; i++) {
      MemberEntry helper =
          exchange.table.randomInDomain(
              exchange.self().failureDomain(), exchange.self().hostId(), exchange.random);
      if (helper != null && !helper.member().hostId().equals(probe.hostId)) {
        exchange.sendWithUpdates(
            NodeAddress.of(helper.member()), new MembershipBody.PingRequest(number, probe.address));
      }
    }
  }

  /** Sends a probe whose answer only shows that a node can be reached. */
  public void greet(NodeAddress address) {
    exchange.sendWithUpdates(address, new MembershipBody.Ping(++sequence));
  }

  private void exchangeOutside() {
    MemberEntry target =
        exchange.table.randomOutside(exchange.self().failureDomain(), exchange.random);
    if (target != null) {
      greet(NodeAddress.of(target.member()));
    }
    NodeAddress forgotten = domains.forgottenAddress(exchange.random);
    if (forgotten != null) {
      greet(forgotten);
    }
  }

  /** Probes a member on behalf of another node. */
  public void onPingRequest(NodeAddress requester, MembershipBody.PingRequest request) {
    if (relayed.size() >= MAX_RELAYED) {
      return;
    }
    relayed.put(++sequence, new Relayed(requester, request.sequence(), exchange.nowMs()));
    exchange.sendWithUpdates(request.target(), new MembershipBody.Ping(sequence));
  }

  /** Takes an answer; passes it on when the probe was made for another node. */
  public void onAck(MembershipBody.Ack ack) {
    probes.remove(ack.sequence());
    Relayed origin = relayed.remove(ack.sequence());
    if (origin != null) {
      exchange.sendWithUpdates(origin.requester(), new MembershipBody.Ack(origin.sequence()));
    }
  }
}
