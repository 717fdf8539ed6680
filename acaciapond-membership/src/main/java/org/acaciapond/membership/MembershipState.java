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
import org.acaciapond.membership.internal.DomainReachability;
import org.acaciapond.membership.internal.GossipContext;
import org.acaciapond.membership.internal.ItemHash;
import org.acaciapond.membership.internal.Joiner;
import org.acaciapond.membership.internal.LocalMember;
import org.acaciapond.membership.internal.MemberEntry;
import org.acaciapond.membership.internal.MemberTable;
import org.acaciapond.membership.internal.PacketBuilder;
import org.acaciapond.membership.internal.Prober;
import org.acaciapond.membership.internal.ReplicatedStore;
import org.acaciapond.membership.internal.SuspicionTracker;
import org.jspecify.annotations.Nullable;

/**
 * State machine of the gossip membership protocol of one node.
 *
 * <p>It performs no I/O: methods return the actions that the caller must execute. Only one thread
 * at a time may call these methods. The view and the store are safe to use from any thread. All
 * times are milliseconds of a monotonic clock of the caller.
 */
public final class MembershipState implements MembershipView, GossipStore {

  /** Interval at which the caller should call {@link #tick}. */
  public static final long TICK_INTERVAL_MS = 100;

  /** Minimum interval between two immediate forwards, which limits their cost in a mass event. */
  private static final long FORWARD_INTERVAL_MS = 200;

  private static final int FORWARDS_IN_DOMAIN = 2;
  private static final int MAX_RECENT_PEERS = 64;
  private static final long CLEANUP_INTERVAL_MS = 10_000;

  /** Limit of the addresses of a forgotten failure domain that are kept and probed. */
  private static final int MAX_FORGOTTEN_ADDRESSES = 8;

  /** Minimum interval between probes of members of forgotten domains that other nodes report. */
  private static final long FORGOTTEN_PROBE_INTERVAL_MS = 1_000;

  /** One comparison in this many goes to a seed and one to a dead member, to heal partitions. */
  private static final int HEALING_COMPARISON_PERIOD = 8;

  private final MembershipSettings settings;
  private final RandomGenerator random;
  private final MemberTable table = new MemberTable();
  private final ReplicatedStore store = new ReplicatedStore();
  private final DomainReachability domains = new DomainReachability();
  private final Set<NodeAddress> recentPeers = new LinkedHashSet<>();
  private final LocalMember localMember;
  private final GossipContext context;
  private final SuspicionTracker suspicions;
  private final Prober prober;
  private final AntiEntropy antiEntropy;
  private final Joiner joiner;
  private final Joiner.Admission admission;
  private List<NodeAddress> seeds;
  private long lastTickMs;
  private long nextForwardMs;
  private long nextCleanupMs;
  private long nextForgottenProbeMs;
  private boolean forwardPending;
  private boolean viewStale = true;
  private volatile Member self;
  private volatile Map<String, List<Member>> membersByDomain = Map.of();
  private volatile List<Member> members = List.of();
  private volatile long viewVersion;

  /**
   * Creates the state of a starting node.
   *
   * @param settings intervals, timeouts and limits
   * @param self record of this node; after a restart its incarnation must be higher than before
   * @param seeds nodes to contact first
   * @param random source of randomness
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
    this.localMember = new LocalMember(self);
    this.self = self;
    this.lastTickMs = nowMs;
    this.nextCleanupMs = nowMs + CLEANUP_INTERVAL_MS;
    this.context = new GossipContext(settings, table, store, random, self, nowMs);
    this.suspicions = new SuspicionTracker(context);
    this.prober = new Prober(context, domains, this::onProbeTimeout);
    this.joiner = new Joiner(context, this.seeds);
    this.admission = new Joiner.Admission(context);
    this.antiEntropy = new AntiEntropy(context, this::selectComparisonPeer, this::randomOtherSeed);
    table.merge(self, nowMs);
    refreshView();
  }

  /** Runs all periodic work that is due; to be called every {@link #TICK_INTERVAL_MS}. */
  public List<MembershipAction> tick(long nowMs) {
    advance(nowMs);
    lastTickMs = nowMs;
    if (localMember.hasLeft()) {
      return context.drainActions();
    }
    for (String key : store.drainPublished()) {
      context.updates().addEntry(key);
      forwardPending = true;
    }
    joiner.tick();
    if (!localMember.isCatchingUp()) {
      prober.tick();
      suspicions.collectFailed().forEach(this::mergeMember);
    }
    antiEntropy.tick();
    cleanUpIfDue(nowMs);
    forwardIfDue(nowMs);
    refreshView();
    return context.drainActions();
  }

  /** Processes a message; the returned actions include the responses to it. */
  public List<MembershipAction> onMessage(long nowMs, NodeAddress from, MembershipPacket packet) {
    advance(nowMs);
    if (localMember.hasLeft()) {
      return context.drainActions();
    }
    addRecentPeer(from);
    recordSender(nowMs, packet);
    mergeMembers(from, packet.members());
    for (GossipEntry entry : packet.entries()) {
      if (store.receive(entry)) {
        context.updates().addEntry(entry.key());
        forwardPending = true;
      }
    }
    dispatch(from, packet);
    checkSender(from, packet);
    return context.drainActions();
  }

  private void advance(long nowMs) {
    context.advance(nowMs);
    long gapMs = nowMs - lastTickMs;
    if (gapMs >= settings.pauseThresholdMs()) {
      lastTickMs = nowMs;
      resumeAfterPause(gapMs);
    }
  }

  private void resumeAfterPause(long gapMs) {
    domains.shiftTimes(gapMs);
    suspicions.shiftTimes(gapMs);
    prober.reset();
    requireCatchUp();
    antiEntropy.sendDigests(selectComparisonPeer());
  }

  private void requireCatchUp() {
    if (!localMember.isCatchingUp()) {
      localMember.setCatchingUp(true);
      context.addAction(new MembershipAction.Notify(MembershipEvent.CATCH_UP_REQUIRED));
    }
    publishLocalMember();
  }

  /** Completes the catch-up after a pause or a death report; announces the target again. */
  public void completeCatchUp() {
    if (localMember.isCatchingUp()) {
      localMember.setCatchingUp(false);
      publishLocalMember();
    }
  }

  /** Returns whether the node must catch up before it announces its target. */
  public boolean isCatchingUp() {
    return localMember.isCatchingUp();
  }

  /** Announces the target of this node; an empty service means that it has none. */
  public void updateTarget(String service, String version, int weight, boolean leaving) {
    if (!localMember.hasLeft() && localMember.setTarget(service, version, weight, leaving)) {
      publishLocalMember();
    }
  }

  /** Announces that this node accepts no new calls. */
  public List<MembershipAction> announceLeaving(long nowMs) {
    return announceNodeState(nowMs, MemberState.LEAVING);
  }

  /** Announces that this node has left; it sends nothing afterwards. */
  public List<MembershipAction> announceLeft(long nowMs) {
    return announceNodeState(nowMs, MemberState.LEFT);
  }

  private List<MembershipAction> announceNodeState(long nowMs, MemberState state) {
    context.advance(nowMs);
    if (!localMember.hasLeft()) {
      localMember.setNodeState(state);
      publishLocalMember();
      announceToPeers();
    }
    return context.drainActions();
  }

  private void announceToPeers() {
    Set<NodeAddress> receivers = new LinkedHashSet<>(recentPeers);
    receivers.addAll(forwardTargets());
    for (NodeAddress receiver : receivers) {
      PacketBuilder packet = new PacketBuilder(self, new MembershipBody.Updates());
      packet.add(self);
      context.sendWithUpdates(receiver, packet);
    }
  }

  /** Replaces the nodes to contact while no other node is known. */
  public void setSeeds(List<NodeAddress> seeds) {
    this.seeds = List.copyOf(seeds);
    joiner.setSeeds(this.seeds);
  }

  /** Returns whether the whole state of another node has been received since the start. */
  public boolean isJoined() {
    return joiner.isJoined();
  }

  /** Returns the failure domains that have sent no message for at least {@code durationMs}. */
  public List<String> domainsSilentFor(long durationMs, long nowMs) {
    return domains.domainsSilentFor(durationMs, nowMs);
  }

  /** Returns the number of pulls of joining nodes that were deferred. */
  public long deferredJoins() {
    return admission.deferredPulls();
  }

  /** Returns the number of updates queued for other nodes. */
  public int pendingUpdates() {
    return context.updates().size();
  }

  /** Returns the record of a member in any state, or null if there is none. */
  public @Nullable Member find(String hostId) {
    MemberEntry entry = table.get(hostId);
    return entry == null ? null : entry.member();
  }

  private void publishLocalMember() {
    Member next = localMember.toMember();
    self = next;
    context.setSelf(next);
    table.merge(next, lastTickMs);
    enqueueUpdate(next);
  }

  private void enqueueUpdate(Member member) {
    context.updates().addMember(member.hostId());
    forwardPending = true;
    viewStale = true;
  }

  private void addRecentPeer(NodeAddress peer) {
    recentPeers.remove(peer);
    recentPeers.add(peer);
    if (recentPeers.size() > MAX_RECENT_PEERS) {
      recentPeers.remove(recentPeers.iterator().next());
    }
  }

  private void recordSender(long nowMs, MembershipPacket packet) {
    suspicions.onMessageFrom(packet.senderId());
    MemberEntry known = table.get(packet.senderId());
    if (known != null) {
      domains.recordMessage(known.member().failureDomain(), nowMs);
    }
    for (Member member : packet.members()) {
      if (member.hostId().equals(packet.senderId())) {
        domains.recordMessage(member.failureDomain(), nowMs);
      }
    }
  }

  private void mergeMembers(NodeAddress from, List<Member> updates) {
    PacketBuilder corrections = new PacketBuilder(self, new MembershipBody.Updates());
    for (Member member : updates) {
      if (member.hostId().equals(self.hostId())) {
        refute(member);
        continue;
      }
      MemberEntry current = table.get(member.hostId());
      boolean stale = mergeMember(member) == MemberTable.MergeResult.STALE;
      if (stale && current != null && current.isTombstone()) {
        corrections.add(current.member());
      }
    }
    if (!corrections.isEmpty()) {
      context.addAction(new MembershipAction.Send(from, corrections.build()));
    }
  }

  private MemberTable.MergeResult mergeMember(Member member) {
    Member update = suspicions.applySuspicionPeriod(member);
    if (!update.failureDomain().equals(self.failureDomain())
        && !domains.acceptsRecordsOf(update.failureDomain(), lastTickMs)) {
      probeForgottenIfDue(update);
      return MemberTable.MergeResult.REJECTED;
    }
    boolean unknownTombstone =
        table.get(update.hostId()) == null && MemberEntry.isTombstone(update.state());
    MemberTable.MergeResult result = table.merge(update, lastTickMs);
    if (result == MemberTable.MergeResult.APPLIED) {
      suspicions.onRecord(update);
      viewStale = true;
      if (!unknownTombstone && !joiner.isJoining()) {
        enqueueUpdate(update);
      }
    }
    return result;
  }

  /** Probes a member of a forgotten domain that another node reports, at a limited rate. */
  private void probeForgottenIfDue(Member member) {
    if (lastTickMs >= nextForgottenProbeMs && !MemberEntry.isTombstone(member.state())) {
      nextForgottenProbeMs = lastTickMs + FORGOTTEN_PROBE_INTERVAL_MS;
      prober.sendUntrackedPing(NodeAddress.of(member));
    }
  }

  /** Raises the incarnation of this node above a reported record that differs from its own. */
  private void refute(Member reported) {
    boolean higher = reported.incarnation() > self.incarnation();
    boolean same = reported.incarnation() == self.incarnation();
    if (!higher && !(same && reported.state() != self.state())) {
      return;
    }
    localMember.raiseIncarnationAbove(reported.incarnation());
    if (reported.state() == MemberState.DEAD && same) {
      requireCatchUp();
    } else {
      publishLocalMember();
    }
  }

  private void dispatch(NodeAddress from, MembershipPacket packet) {
    MembershipBody body = packet.body();
    if (body instanceof MembershipBody.Ping ping) {
      context.sendWithUpdates(from, createAck(packet, ping));
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
        antiEntropy.scheduleEarlyComparisons();
        enqueueUpdate(self);
      }
    } else if (body instanceof MembershipBody.PullDeferred deferral) {
      joiner.onPullDeferred(from, deferral);
    }
  }

  private PacketBuilder createAck(MembershipPacket packet, MembershipBody.Ping ping) {
    PacketBuilder ack = new PacketBuilder(self, new MembershipBody.Ack(ping.sequence()));
    Member suspectedSender = suspectedSender(packet);
    if (suspectedSender != null) {
      ack.add(suspectedSender);
    }
    return ack;
  }

  /** Returns the record of a sender that is recorded as suspected or dead, for it to refute. */
  private @Nullable Member suspectedSender(MembershipPacket packet) {
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
    Member suspectedSender = suspectedSender(packet);
    if (suspectedSender != null && !(packet.body() instanceof MembershipBody.Ping)) {
      PacketBuilder builder = new PacketBuilder(self, new MembershipBody.Updates());
      builder.add(suspectedSender);
      context.addAction(new MembershipAction.Send(from, builder.build()));
    }
  }

  private void onProbeTimeout(String hostId) {
    MemberEntry entry = table.get(hostId);
    if (entry == null) {
      return;
    }
    if (entry.member().state() == MemberState.LEAVING) {
      suspicions.onLeavingMemberTimeout(hostId);
    } else if (entry.member().state() == MemberState.ALIVE) {
      mergeMember(SuspicionTracker.withState(entry.member(), MemberState.SUSPECT));
    }
  }

  private NodeAddress selectComparisonPeer() {
    NodeAddress ownAddress = NodeAddress.of(self);
    int choice = random.nextInt(HEALING_COMPARISON_PERIOD);
    if (choice == 0 || (choice % 2 == 1 && hasUnknownSeed())) {
      NodeAddress seed = randomOtherSeed();
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
    MemberEntry selected =
        inside == null || (outside != null && choice % 2 == 0) ? outside : inside;
    return selected == null ? ownAddress : NodeAddress.of(selected.member());
  }

  private NodeAddress randomOtherSeed() {
    List<NodeAddress> others = joiner.otherSeeds();
    return others.isEmpty() ? NodeAddress.of(self) : others.get(random.nextInt(others.size()));
  }

  /** Returns whether a seed is not among the members, as after a start in separate partitions. */
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
      context.sendWithUpdates(target, new MembershipBody.Updates());
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

  private void cleanUpIfDue(long nowMs) {
    if (nowMs < nextCleanupMs) {
      return;
    }
    nextCleanupMs = nowMs + CLEANUP_INTERVAL_MS;
    List<MemberEntry> removable = new ArrayList<>();
    for (MemberEntry entry : table.entries()) {
      if (entry.isTombstone() && nowMs - entry.changedAtMs() >= settings.tombstoneRetentionMs()) {
        removable.add(entry);
      }
    }
    for (String domain : domains.domainsSilentFor(settings.unreachableRetentionMs(), nowMs)) {
      if (!domain.equals(self.failureDomain())) {
        List<MemberEntry> silent = table.liveMembers(domain);
        removable.addAll(silent);
        domains.forgetDomain(
            domain,
            silent.stream()
                .limit(MAX_FORGOTTEN_ADDRESSES)
                .map(entry -> NodeAddress.of(entry.member()))
                .toList());
      }
    }
    removable.forEach(table::remove);
    viewStale |= !removable.isEmpty();
  }

  private void refreshView() {
    if (!viewStale) {
      return;
    }
    viewStale = false;
    Map<String, List<Member>> next =
        table.domains().stream().collect(Collectors.toMap(domain -> domain, this::visibleMembers));
    membersByDomain = next;
    members = next.values().stream().flatMap(List::stream).toList();
    viewVersion++;
  }

  private List<Member> visibleMembers(String domain) {
    return table.liveMembers(domain).stream()
        .map(MemberEntry::member)
        .filter(m -> m.state().acceptsWork() || m.hostId().equals(self.hostId()))
        .toList();
  }

  /** Returns a number that increases with each change of the members. */
  public long viewVersion() {
    return viewVersion;
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
