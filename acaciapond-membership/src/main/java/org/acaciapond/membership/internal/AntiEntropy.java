package org.acaciapond.membership.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.acaciapond.membership.GossipEntry;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MembershipBody;
import org.acaciapond.membership.NodeAddress;

/**
 * Comparison of the whole state with another node: bucket digests, then item versions, then items.
 */
public final class AntiEntropy {

  /** Limit of the buckets compared in detail after one message with digests. */
  private static final int MAX_SUMMARIES = 8;

  /**
   * Limit of the digest messages answered per second, which bounds the load on a seed in a mass
   * start. With a limit of 20, 800 starting members took 75 s to converge; without one, 18 s.
   */
  private static final int MAX_RESPONSES_PER_SECOND = 100;

  private static final long RESPONSE_WINDOW_MS = 1_000;

  /** Delay before the next comparison if more buckets may differ than one comparison covers. */
  private static final long FOLLOW_UP_MS = 1_000;

  /**
   * Number of comparisons with seeds shortly after a join. Nodes that start together may join
   * through seeds that do not know each other yet.
   */
  private static final int EARLY_COMPARISONS = 3;

  private final GossipContext context;
  private final PeerSelector peers;
  private final PeerSelector seeds;
  private long nextComparisonMs;
  private int summariesReceived;
  private long responseWindowStartMs;
  private int responsesInWindow;
  private int earlyComparisonsLeft;
  private boolean followUpDue;
  private NodeAddress lastPeer;

  /**
   * Creates the anti-entropy component; the first comparison starts at a random time.
   *
   * @param context shared state
   * @param peers selects among all nodes
   * @param seeds selects among the seeds
   */
  public AntiEntropy(GossipContext context, PeerSelector peers, PeerSelector seeds) {
    this.context = context;
    this.peers = peers;
    this.seeds = seeds;
    this.nextComparisonMs =
        context.nowMs() + context.random.nextLong(context.settings.antiEntropyIntervalMs());
    this.lastPeer = NodeAddress.of(context.self());
  }

  /** Selector of the node to compare with. */
  @FunctionalInterface
  public interface PeerSelector {

    /** Returns an address; that of this node if no other is known. */
    NodeAddress select();
  }

  /** Starts a comparison when it is due. */
  public void tick() {
    if (context.nowMs() < nextComparisonMs) {
      return;
    }
    boolean early = earlyComparisonsLeft > 0;
    nextComparisonMs =
        context.nowMs()
            + context.jitter(early ? FOLLOW_UP_MS : context.settings.antiEntropyIntervalMs());
    if (!followUpDue) {
      lastPeer = early ? seeds.select() : peers.select();
      earlyComparisonsLeft = Math.max(0, earlyComparisonsLeft - 1);
    }
    followUpDue = false;
    summariesReceived = 0;
    sendDigests(lastPeer);
  }

  /** Schedules comparisons with seeds shortly after a join. */
  public void scheduleEarlyComparisons() {
    earlyComparisonsLeft = EARLY_COMPARISONS;
    nextComparisonMs = Math.min(nextComparisonMs, context.nowMs() + context.jitter(FOLLOW_UP_MS));
  }

  private void scheduleFollowUp(NodeAddress peer) {
    followUpDue = true;
    lastPeer = peer;
    nextComparisonMs = Math.min(nextComparisonMs, context.nowMs() + context.jitter(FOLLOW_UP_MS));
  }

  /** Sends the digests of the local state to a node, which starts a comparison. */
  public void sendDigests(NodeAddress peer) {
    if (peer.equals(NodeAddress.of(context.self()))) {
      return;
    }
    PacketBuilder packet =
        new PacketBuilder(context.self(), new MembershipBody.Digests(localDigests()));
    packet.add(context.self());
    context.send(peer, packet);
  }

  private int[] localDigests() {
    int[] digests = new int[MembershipBody.BUCKETS];
    for (int i = 0; i < digests.length; i++) {
      digests[i] = context.table.digest(i) + context.store.digest(i);
    }
    return digests;
  }

  /** Answers digests with summaries of up to {@link #MAX_SUMMARIES} buckets that differ. */
  public void onDigests(NodeAddress from, MembershipBody.Digests remote) {
    if (!allowResponse()) {
      return;
    }
    int[] local = localDigests();
    int offset = context.random.nextInt(local.length);
    int sent = 0;
    for (int i = 0; i < local.length && sent < MAX_SUMMARIES; i++) {
      int bucket = (offset + i) % local.length;
      if (local[bucket] != remote.buckets()[bucket]) {
        context.sendWithoutUpdates(from, summarize(bucket));
        sent++;
      }
    }
    if (sent == MAX_SUMMARIES) {
      scheduleFollowUp(from);
    }
  }

  private boolean allowResponse() {
    if (context.nowMs() - responseWindowStartMs >= RESPONSE_WINDOW_MS) {
      responseWindowStartMs = context.nowMs();
      responsesInWindow = 0;
    }
    return ++responsesInWindow <= MAX_RESPONSES_PER_SECOND;
  }

  private MembershipBody.Summary summarize(int bucket) {
    Map<Long, Integer> items = itemsOf(bucket);
    int count = Math.min(items.size(), MembershipBody.MAX_SUMMARY_ITEMS);
    long[] ids = new long[count];
    int[] versions = new int[count];
    int index = 0;
    for (Map.Entry<Long, Integer> item : items.entrySet()) {
      if (index == count) {
        break;
      }
      ids[index] = item.getKey();
      versions[index] = item.getValue();
      index++;
    }
    return new MembershipBody.Summary(bucket, count == items.size(), ids, versions);
  }

  private Map<Long, Integer> itemsOf(int bucket) {
    Map<Long, Integer> items = new HashMap<>();
    for (MemberEntry entry : context.table.bucket(bucket)) {
      items.put(entry.id, ItemHash.version(entry.id, entry.member()));
    }
    for (GossipEntry entry : context.store.bucket(bucket)) {
      long id = ItemHash.ofEntry(entry.key());
      items.put(id, ItemHash.version(id, entry));
    }
    return items;
  }

  /**
   * Sends the items that the other node lacks, requests those that this node lacks, and does both
   * for items whose versions differ.
   */
  public void onSummary(NodeAddress from, MembershipBody.Summary remote) {
    if (++summariesReceived == MAX_SUMMARIES) {
      scheduleFollowUp(from);
    }
    Map<Long, Integer> local = itemsOf(remote.bucket());
    Set<Long> toSend = new HashSet<>();
    List<Long> toRequest = new ArrayList<>();
    Set<Long> listed = new HashSet<>();
    for (int i = 0; i < remote.ids().length; i++) {
      long id = remote.ids()[i];
      listed.add(id);
      Integer version = local.get(id);
      if (version == null || version != remote.versions()[i]) {
        toRequest.add(id);
      }
      if (version != null && version != remote.versions()[i]) {
        toSend.add(id);
      }
    }
    if (remote.complete()) {
      local.keySet().stream().filter(id -> !listed.contains(id)).forEach(toSend::add);
    }
    sendItems(from, remote.bucket(), toSend);
    request(from, toRequest);
  }

  /** Requests items from a node. */
  public void request(NodeAddress from, List<Long> ids) {
    if (!ids.isEmpty()) {
      long[] limited =
          ids.stream().limit(MembershipBody.MAX_REQUEST_ITEMS).mapToLong(Long::longValue).toArray();
      context.sendWithoutUpdates(from, new MembershipBody.ItemRequest(limited));
    }
  }

  /** Sends the requested items. */
  public void onItemRequest(NodeAddress from, MembershipBody.ItemRequest request) {
    Map<Integer, Set<Long>> byBucket = new HashMap<>();
    for (long id : request.ids()) {
      byBucket.computeIfAbsent(ItemHash.bucket(id), bucket -> new HashSet<>()).add(id);
    }
    byBucket.forEach((bucket, ids) -> sendItems(from, bucket, ids));
  }

  private void sendItems(NodeAddress to, int bucket, Set<Long> ids) {
    List<Member> members =
        context.table.bucket(bucket).stream()
            .filter(entry -> ids.contains(entry.id))
            .map(MemberEntry::member)
            .toList();
    List<GossipEntry> entries =
        context.store.bucket(bucket).stream()
            .filter(entry -> ids.contains(ItemHash.ofEntry(entry.key())))
            .toList();
    context.sendItems(to, members, entries);
  }
}
