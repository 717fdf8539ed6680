package org.acaciapond.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.acaciapond.membership.internal.AntiEntropy;
import org.acaciapond.membership.internal.DomainReach;
import org.acaciapond.membership.internal.Exchange;
import org.acaciapond.membership.internal.ItemHash;
import org.acaciapond.membership.internal.Joiner;
import org.acaciapond.membership.internal.MemberEntry;
import org.acaciapond.membership.internal.MemberTable;
import org.acaciapond.membership.internal.PacketBuilder;
import org.acaciapond.membership.internal.Prober;
import org.acaciapond.membership.internal.ReplicatedStore;
import org.acaciapond.membership.internal.SelfRecord;
import org.acaciapond.membership.internal.Suspicions;
import org.jspecify.annotations.Nullable;

/**
 * State machine of the membership of one node.
 *
 * <p>One thread at a time may call the methods that return actions. The views and the store may be
 * used from any thread. All times are monotonic milliseconds of the caller's clock.
 */
public final class MembershipState implements MembershipView, GossipStore {

  /** Interval in which callers should call {@link #tick}. */
  public static final long TICK_INTERVAL_MS = 100;

  /** Shortest interval between two immediate forwards; limits their cost during a mass event. */
  private static final long FORWARD_INTERVAL_MS = 200;

  private static final int FORWARDS_IN_DOMAIN = 2;
  private static final int MAX_RECENT_PEERS = 64;
  private static final long SWEEP_INTERVAL_MS = 10_000;

  /** Addresses of a forgotten failure domain that are tried now and then. */
  private static final int KEPT_ADDRESSES = 8;

  /** Shortest interval between probes of members of forgotten domains that others report. */
  private static final long GREET_INTERVAL_MS = 1_000;

  /** One comparison in this many goes to a seed, and one to a dead member, to heal divisions. */
  private static final int HEALING_SHARE = 8;

  private final MembershipSettings settings;
  private final RandomGenerator random;
  private final MemberTable table = new MemberTable();
  private final ReplicatedStore store = new ReplicatedStore();
  private final DomainReach domains = new DomainReach();
  private final Set<NodeAddress> recentPeers = new LinkedHashSet<>();
  private final SelfRecord own;
  private final Exchange exchange;
  private final Suspicions suspicions;
  private final Prober prober;
  private final AntiEntropy antiEntropy;
  private final Joiner joiner;
  private final Joiner.Admission admission;
  private List<NodeAddress> seeds;
  private long lastTickMs;
  private long nextForwardMs;
  private long nextSweepMs;
  private long nextGreetMs;
  private boolean forwardPending;
  private boolean viewOutdated = true;
  private volatile Member self;
  private volatile Map<String, List<Member>> membersByDomain = Map.of();
  private volatile List<Member> members = List.of();
  private volatile long viewNumber;

  /**
   * Creates the state of a node that starts.
   *
   * @param settings intervals
   * @param self record of this node; its incarnation must be higher than before a restart
   * @param seeds nodes to contact first
   * @param random source of all random choices
   * @param nowMs current time
   */
  public MembershipState(
      MembershipSettings settings,
      Member self,
      List<NodeAddress> seeds,
      RandomGenerator random,
      long nowMs) {
    this.settings = settings;
    this.random = random;
    this.seeds = List.copyOf(seeds);
    this.own = new SelfRecord(self);
    this.self = self;
    this.lastTickMs = nowMs;
    this.nextSweepMs = nowMs + SWEEP_INTERVAL_MS;
    this.exchange = new Exchange(settings, table, store, random, self, nowMs);
    this.suspicions = new Suspicions(exchange);
    this.prober = new Prober(exchange, domains, this::onSilent);
    this.joiner = new Joiner(exchange, this.seeds);
    this.admission = new Joiner.Admission(exchange);
    this.antiEntropy = new AntiEntropy(exchange, this::comparisonPeer, this::randomSeed);
    table.offer(self, nowMs);
    refreshView();
  }

  /** Sends what is due; to be called every {@link #TICK_INTERVAL_MS}. */
  public List<MembershipAction> tick(long nowMs) {
    advance(nowMs);
    lastTickMs = nowMs;
    if (own.hasLeft()) {
      return exchange.drain();
    }
    for (String key : store.drainPublished()) {
      exchange.updates().addEntry(key);
      forwardPending = true;
    }
    joiner.tick();
    if (!own.isCatchingUp()) {
      prober.tick();
      suspicions.expired().forEach(this::take);
    }
    antiEntropy.tick();
    sweepIfDue(nowMs);
    forwardIfDue(nowMs);
    refreshView();
    return exchange.drain();
  }

  /** Takes a message; answers and follow-ups are among the actions returned. */
  public List<MembershipAction> onMessage(long nowMs, NodeAddress from, MembershipPacket packet) {
    advance(nowMs);
    if (own.hasLeft()) {
      return exchange.drain();
    }
    remember(from);
    noteSender(nowMs, packet);
    mergeMembers(from, packet.members());
    for (GossipEntry entry : packet.entries()) {
      if (store.receive(entry)) {
        exchange.updates().addEntry(entry.key());
        forwardPending = true;
      }
    }
    handle(from, packet);
    checkSender(from, packet);
    return exchange.drain();
  }

  private void advance(long nowMs) {
    exchange.advance(nowMs);
    long gapMs = nowMs - lastTickMs;
    if (gapMs >= settings.pauseMs()) {
      lastTickMs = nowMs;
      resumeAfterPause(gapMs);
    }
  }

  private void resumeAfterPause(long gapMs) {
    domains.shift(gapMs);
    suspicions.shift(gapMs);
    prober.reset();
    requireCatchUp();
    antiEntropy.compareWith(comparisonPeer());
  }

  private void requireCatchUp() {
    if (!own.isCatchingUp()) {
      own.setCatchingUp(true);
      exchange.act(new MembershipAction.Notify(MembershipEvent.CATCH_UP_REQUIRED));
    }
    publishSelf();
  }

  /** Ends the catching up after a pause; the target is announced again. */
  public void caughtUp() {
    if (own.isCatchingUp()) {
      own.setCatchingUp(false);
      publishSelf();
    }
  }

  /** Returns whether the node must catch up before it takes part. */
  public boolean isCatchingUp() {
    return own.isCatchingUp();
  }

  /** Announces the target; an empty service means that there is none. */
  public void updateTarget(String service, String version, int weight, boolean leaving) {
    if (!own.hasLeft() && own.setTarget(service, version, weight, leaving)) {
      publishSelf();
    }
  }

  /** Announces that this node takes no new work. */
  public List<MembershipAction> leave(long nowMs) {
    return announceState(nowMs, MemberState.LEAVING);
  }

  /** Announces that this node has gone; it sends nothing after that. */
  public List<MembershipAction> left(long nowMs) {
    return announceState(nowMs, MemberState.LEFT);
  }

  private List<MembershipAction> announceState(long nowMs, MemberState state) {
    exchange.advance(nowMs);
    if (!own.hasLeft()) {
      own.setNodeState(state);
      publishSelf();
      announceToPeers();
    }
    return exchange.drain();
  }

  private void announceToPeers() {
    Set<NodeAddress> receivers = new LinkedHashSet<>(recentPeers);
    receivers.addAll(forwardTargets());
    for (NodeAddress receiver : receivers) {
      PacketBuilder packet = new PacketBuilder(self, new MembershipBody.Updates());
      packet.add(self);
      exchange.sendWithUpdates(receiver, packet);
    }
  }

  /** Replaces the nodes to contact when no other node is known. */
  public void setSeeds(List<NodeAddress> seeds) {
    this.seeds = List.copyOf(seeds);
    joiner.setSeeds(this.seeds);
  }

  /** Returns whether all state of another node was received since the start. */
  public boolean isJoined() {
    return joiner.isJoined();
  }

  /** Returns the failure domains not heard of for at least a time. */
  public List<String> domainsSilentFor(long durationMs, long nowMs) {
    return domains.silentFor(durationMs, nowMs);
  }

  /** Returns the number of transfers to joining nodes that were put off. */
  public long deferredJoins() {
    return admission.deferred();
  }

  /** Returns the number of updates that wait to be passed on. */
  public int waitingUpdates() {
    return exchange.updates().size();
  }

  /** Returns the record of a member in any state, or null when none is held. */
  public @Nullable Member find(String hostId) {
    MemberEntry entry = table.get(hostId);
    return entry == null ? null : entry.member();
  }

  private void publishSelf() {
    Member next = own.record();
    self = next;
    exchange.setSelf(next);
    table.offer(next, lastTickMs);
    noteChange(next);
  }

  private void noteChange(Member member) {
    exchange.updates().addMember(member.hostId());
    forwardPending = true;
    viewOutdated = true;
  }

  private void remember(NodeAddress peer) {
    recentPeers.remove(peer);
    recentPeers.add(peer);
    if (recentPeers.size() > MAX_RECENT_PEERS) {
      recentPeers.remove(recentPeers.iterator().next());
    }
  }

  private void noteSender(long nowMs, MembershipPacket packet) {
    suspicions.onHeard(packet.senderId());
    MemberEntry known = table.get(packet.senderId());
    if (known != null) {
      domains.heard(known.member().failureDomain(), nowMs);
    }
    for (Member member : packet.members()) {
      if (member.hostId().equals(packet.senderId())) {
        domains.heard(member.failureDomain(), nowMs);
      }
    }
  }

  private void mergeMembers(NodeAddress from, List<Member> news) {
    PacketBuilder corrections = new PacketBuilder(self, new MembershipBody.Updates());
    for (Member member : news) {
      if (member.hostId().equals(self.hostId())) {
        contradict(member);
        continue;
      }
      MemberEntry held = table.get(member.hostId());
      boolean stale = take(member) == MemberTable.Offer.STALE;
      if (stale && held != null && held.isTombstone()) {
        corrections.add(held.member());
      }
    }
    if (!corrections.isEmpty()) {
      exchange.act(new MembershipAction.Send(from, corrections.build()));
    }
  }

  private MemberTable.Offer take(Member member) {
    Member news = suspicions.admissible(member);
    if (!news.failureDomain().equals(self.failureDomain())
        && !domains.accepts(news.failureDomain(), lastTickMs)) {
      greetIfDue(news);
      return MemberTable.Offer.FULL;
    }
    boolean unknownTombstone =
        table.get(news.hostId()) == null && MemberEntry.isTombstone(news.state());
    MemberTable.Offer offer = table.offer(news, lastTickMs);
    if (offer == MemberTable.Offer.TAKEN) {
      suspicions.onRecord(news);
      viewOutdated = true;
      if (!unknownTombstone && !joiner.isJoining()) {
        noteChange(news);
      }
    }
    return offer;
  }

  /** Finds out whether a member of a forgotten domain that another node reports can be reached. */
  private void greetIfDue(Member member) {
    if (lastTickMs >= nextGreetMs && !MemberEntry.isTombstone(member.state())) {
      nextGreetMs = lastTickMs + GREET_INTERVAL_MS;
      prober.greet(NodeAddress.of(member));
    }
  }

  /** Raises the own incarnation above a record that says something else of this node. */
  private void contradict(Member claim) {
    boolean newer = claim.incarnation() > self.incarnation();
    boolean same = claim.incarnation() == self.incarnation();
    if (!newer && !(same && claim.state() != self.state())) {
      return;
    }
    own.raiseAbove(claim.incarnation());
    if (claim.state() == MemberState.DEAD && same) {
      requireCatchUp();
    } else {
      publishSelf();
    }
  }

  private void handle(NodeAddress from, MembershipPacket packet) {
    MembershipBody body = packet.body();
    if (body instanceof MembershipBody.Ping ping) {
      exchange.sendWithUpdates(from, answer(packet, ping));
    } else if (body instanceof MembershipBody.Ack ack) {
      prober.onAck(ack);
    } else if (body instanceof MembershipBody.PingRequest request) {
      prober.onPingRequest(from, request);
    } else if (body instanceof MembershipBody.Digests digests) {
      antiEntropy.onDigests(from, digests);
    } else if (body instanceof MembershipBody.Summary summary) {
      antiEntropy.onSummary(from, summary);
    } else if (body instanceof MembershipBody.ItemRequest request) {
      antiEntropy.onItemRequest(from, request);
    } else if (body instanceof MembershipBody.Pull pull) {
      admission.onPull(from, pull);
    } else if (body instanceof MembershipBody.PullDone done) {
      if (joiner.onPullDone(from, done)) {
        antiEntropy.compareEarly();
        noteChange(self);
      }
    } else if (body instanceof MembershipBody.PullDeferred deferred) {
      joiner.onPullDeferred(from, deferred);
    }
  }

  private PacketBuilder answer(MembershipPacket packet, MembershipBody.Ping ping) {
    PacketBuilder ack = new PacketBuilder(self, new MembershipBody.Ack(ping.sequence()));
    Member doubted = doubted(packet);
    if (doubted != null) {
      ack.add(doubted);
    }
    return ack;
  }

  /** Returns the record of a sender that is held for suspected or dead, so that it contradicts. */
  private @Nullable Member doubted(MembershipPacket packet) {
    MemberEntry entry = table.get(packet.senderId());
    if (entry == null || entry.member().incarnation() < packet.senderIncarnation()) {
      return null;
    }
    MemberState state = entry.member().state();
    return state == MemberState.SUSPECT || state == MemberState.DEAD ? entry.member() : null;
  }

  private void checkSender(NodeAddress from, MembershipPacket packet) {
    MemberEntry entry = table.get(packet.senderId());
    if (entry == null || entry.member().incarnation() < packet.senderIncarnation()) {
      antiEntropy.request(from, List.of(ItemHash.ofMember(packet.senderId())));
      return;
    }
    Member doubted = doubted(packet);
    if (doubted != null && !(packet.body() instanceof MembershipBody.Ping)) {
      PacketBuilder builder = new PacketBuilder(self, new MembershipBody.Updates());
      builder.add(doubted);
      exchange.act(new MembershipAction.Send(from, builder.build()));
    }
  }

  private void onSilent(String hostId) {
    MemberEntry entry = table.get(hostId);
    if (entry == null) {
      return;
    }
    if (entry.member().state() == MemberState.LEAVING) {
      suspicions.onSilentLeaver(hostId);
    } else if (entry.member().state() == MemberState.ALIVE) {
      take(Suspicions.withState(entry.member(), MemberState.SUSPECT));
    }
  }

  private NodeAddress comparisonPeer() {
    NodeAddress ownAddress = NodeAddress.of(self);
    int choice = random.nextInt(HEALING_SHARE);
    if (choice == 0 || (choice % 2 == 1 && hasUnknownSeed())) {
      NodeAddress seed = randomSeed();
      if (!seed.equals(ownAddress)) {
        return seed;
      }
    }
    List<Member> dead = choice == 1 || table.liveCount() <= 1 ? deadMembers() : List.of();
    if (!dead.isEmpty()) {
      return NodeAddress.of(dead.get(random.nextInt(dead.size())));
    }
    MemberEntry inside = table.randomInDomain(self.failureDomain(), self.hostId(), random);
    MemberEntry outside = table.randomOutside(self.failureDomain(), random);
    MemberEntry chosen = inside == null || (outside != null && choice % 2 == 0) ? outside : inside;
    return chosen == null ? ownAddress : NodeAddress.of(chosen.member());
  }

  private NodeAddress randomSeed() {
    List<NodeAddress> others = joiner.otherSeeds();
    return others.isEmpty() ? NodeAddress.of(self) : others.get(random.nextInt(others.size()));
  }

  /** Returns whether a seed is not among the members, as after a start in separate groups. */
  private boolean hasUnknownSeed() {
    Set<NodeAddress> known = members.stream().map(NodeAddress::of).collect(Collectors.toSet());
    return !known.containsAll(seeds);
  }

  private List<Member> deadMembers() {
    return table.entries().stream()
        .map(MemberEntry::member)
        .filter(member -> member.state() == MemberState.DEAD)
        .sorted(Comparator.comparing(Member::hostId))
        .toList();
  }

  private void forwardIfDue(long nowMs) {
    if (!forwardPending || nowMs < nextForwardMs) {
      return;
    }
    forwardPending = false;
    nextForwardMs = nowMs + FORWARD_INTERVAL_MS;
    for (NodeAddress target : forwardTargets()) {
      exchange.sendWithUpdates(target, new MembershipBody.Updates());
    }
  }

  private Set<NodeAddress> forwardTargets() {
    Set<NodeAddress> targets = new LinkedHashSet<>();
    for (int i = 0; i < FORWARDS_IN_DOMAIN; i++) {
      MemberEntry inside = table.randomInDomain(self.failureDomain(), self.hostId(), random);
      if (inside != null) {
        targets.add(NodeAddress.of(inside.member()));
      }
    }
    MemberEntry outside = table.randomOutside(self.failureDomain(), random);
    if (outside != null) {
      targets.add(NodeAddress.of(outside.member()));
    }
    return targets;
  }

  private void sweepIfDue(long nowMs) {
    if (nowMs < nextSweepMs) {
      return;
    }
    nextSweepMs = nowMs + SWEEP_INTERVAL_MS;
    List<MemberEntry> expired = new ArrayList<>();
    for (MemberEntry entry : table.entries()) {
      if (entry.isTombstone() && nowMs - entry.changedAtMs() >= settings.tombstoneMs()) {
        expired.add(entry);
      }
    }
    for (String domain : domains.silentFor(settings.unreachableMs(), nowMs)) {
      if (!domain.equals(self.failureDomain())) {
        List<MemberEntry> silent = table.live(domain);
        expired.addAll(silent);
        domains.forget(
            domain,
            silent.stream()
                .limit(KEPT_ADDRESSES)
                .map(entry -> NodeAddress.of(entry.member()))
                .toList());
      }
    }
    expired.forEach(table::remove);
    viewOutdated |= !expired.isEmpty();
  }

  private void refreshView() {
    if (!viewOutdated) {
      return;
    }
    viewOutdated = false;
    Map<String, List<Member>> next =
        table.domains().stream().collect(Collectors.toMap(domain -> domain, this::workingMembers));
    membersByDomain = next;
    members = next.values().stream().flatMap(List::stream).toList();
    viewNumber++;
  }

  private List<Member> workingMembers(String domain) {
    return table.live(domain).stream()
        .map(MemberEntry::member)
        .filter(m -> m.state().acceptsWork() || m.hostId().equals(self.hostId()))
        .toList();
  }

  /** Returns a number that grows with each change of the members. */
  public long viewNumber() {
    return viewNumber;
  }

  @Override
  public Member self() {
    return self;
  }

  @Override
  public List<Member> domainMembers(String failureDomain) {
    return membersByDomain.getOrDefault(failureDomain, List.of());
  }

  @Override
  public List<Member> members() {
    return members;
  }

  @Override
  public boolean publish(GossipEntry entry) {
    return store.publish(entry);
  }

  @Override
  public Optional<GossipEntry> get(String key) {
    return store.get(key);
  }

  @Override
  public List<GossipEntry> list(String prefix) {
    return store.list(prefix);
  }

  @Override
  public void addListener(Consumer<GossipEntry> listener) {
    store.addListener(listener);
  }
}
