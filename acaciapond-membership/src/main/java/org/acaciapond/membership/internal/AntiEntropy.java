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

/** Comparison of all state with another node: digests of buckets, then items, then content. */
public final class AntiEntropy {

  /** Limit of the buckets compared in detail after one exchange of digests. */
  private static final int MAX_SUMMARIES = 8;

  /**
   * Limit of the digests answered in a second, which bounds the answers of a seed in a mass start.
   * With 20, a start of 800 members took 75 s until all knew all, with no limit 18 s.
   */
  private static final int MAX_ANSWERS_PER_SECOND = 100;

  private static final long ANSWER_WINDOW_MS = 1_000;

  /** Delay until the next comparison when more buckets differed than one exchange covers. */
  private static final long FOLLOW_UP_MS = 1_000;

  /**
   * Comparisons with seeds soon after a join. Nodes that start at the same time may join through
   * seeds that do not know of one another yet.
   */
  private static final int EARLY_COMPARISONS = 3;

  private final Exchange exchange;
  private final PeerChoice peers;
  private final PeerChoice seeds;
  private long nextMs;
  private int summariesReceived;
  private long answersSinceMs;
  private int answers;
  private int earlyLeft;
  private boolean followUp;
  private NodeAddress lastPeer;

  /**
   * Creates a comparison.
   *
   * @param exchange shared state
   * @param peers choice among all nodes
   * @param seeds choice among the seeds
   */
  public AntiEntropy(Exchange exchange, PeerChoice peers, PeerChoice seeds) {
    this.exchange = exchange;
    this.peers = peers;
    this.seeds = seeds;
    this.nextMs =
        exchange.nowMs() + exchange.random.nextLong(exchange.settings.antiEntropyIntervalMs());
    this.lastPeer = NodeAddress.of(exchange.self());
  }

  /** Choice of the node to compare with. */
  @FunctionalInterface
  public interface PeerChoice {

    /** Returns an address, or the own one when no other node is known. */
    NodeAddress choose();
  }

  /** Starts a comparison when it is due. */
  public void tick() {
    if (exchange.nowMs() < nextMs) {
      return;
    }
    boolean early = earlyLeft > 0;
    nextMs =
        exchange.nowMs()
            + exchange.jitter(early ? FOLLOW_UP_MS : exchange.settings.antiEntropyIntervalMs());
    if (!followUp) {
      lastPeer = early ? seeds.choose() : peers.choose();
      earlyLeft = Math.max(0, earlyLeft - 1);
    }
    followUp = false;
    summariesReceived = 0;
    compareWith(lastPeer);
  }

  /** Compares with some seeds soon. */
  public void compareEarly() {
    earlyLeft = EARLY_COMPARISONS;
    nextMs = Math.min(nextMs, exchange.nowMs() + exchange.jitter(FOLLOW_UP_MS));
  }

  private void followUpWith(NodeAddress peer) {
    followUp = true;
    lastPeer = peer;
    nextMs = Math.min(nextMs, exchange.nowMs() + exchange.jitter(FOLLOW_UP_MS));
  }

  /** Sends the own digests to a node. */
  public void compareWith(NodeAddress peer) {
    if (peer.equals(NodeAddress.of(exchange.self()))) {
      return;
    }
    PacketBuilder packet =
        new PacketBuilder(exchange.self(), new MembershipBody.Digests(ownDigests()));
    packet.add(exchange.self());
    exchange.send(peer, packet);
  }

  private int[] ownDigests() {
    int[] digests = new int[MembershipBody.BUCKETS];
    for (int i = 0; i < digests.length; i++) {
      digests[i] = exchange.table.digest(i) + exchange.store.digest(i);
    }
    return digests;
  }

  /** Answers digests with summaries of some buckets that differ. */
  public void onDigests(NodeAddress from, MembershipBody.Digests remote) {
    if (!mayAnswer()) {
      return;
    }
    int[] own = ownDigests();
    int offset = exchange.random.nextInt(own.length);
    int sent = 0;
    for (int i = 0; i < own.length && sent < MAX_SUMMARIES; i++) {
      int bucket = (offset + i) % own.length;
      if (own[bucket] != remote.buckets()[bucket]) {
        exchange.sendBare(from, summaryOf(bucket));
        sent++;
      }
    }
    if (sent == MAX_SUMMARIES) {
      followUpWith(from);
    }
  }

  private boolean mayAnswer() {
    if (exchange.nowMs() - answersSinceMs >= ANSWER_WINDOW_MS) {
      answersSinceMs = exchange.nowMs();
      answers = 0;
    }
    return ++answers <= MAX_ANSWERS_PER_SECOND;
  }

  private MembershipBody.Summary summaryOf(int bucket) {
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
    for (MemberEntry entry : exchange.table.bucket(bucket)) {
      items.put(entry.id, ItemHash.version(entry.id, entry.member()));
    }
    for (GossipEntry entry : exchange.store.bucket(bucket)) {
      long id = ItemHash.ofEntry(entry.key());
      items.put(id, ItemHash.version(id, entry));
    }
    return items;
  }

  /** Sends the items that the other node lacks or holds in another version, and asks for its. */
  public void onSummary(NodeAddress from, MembershipBody.Summary remote) {
    if (++summariesReceived == MAX_SUMMARIES) {
      followUpWith(from);
    }
    Map<Long, Integer> own = itemsOf(remote.bucket());
    Set<Long> toSend = new HashSet<>();
    List<Long> toRequest = new ArrayList<>();
    Set<Long> listed = new HashSet<>();
    for (int i = 0; i < remote.ids().length; i++) {
      long id = remote.ids()[i];
      listed.add(id);
      Integer version = own.get(id);
      if (version == null || version != remote.versions()[i]) {
        toRequest.add(id);
      }
      if (version != null && version != remote.versions()[i]) {
        toSend.add(id);
      }
    }
    if (remote.complete()) {
      own.keySet().stream().filter(id -> !listed.contains(id)).forEach(toSend::add);
    }
    sendItems(from, remote.bucket(), toSend);
    request(from, toRequest);
  }

  /** Asks a node for items. */
  public void request(NodeAddress from, List<Long> ids) {
    if (!ids.isEmpty()) {
      long[] limited =
          ids.stream().limit(MembershipBody.MAX_REQUEST_ITEMS).mapToLong(Long::longValue).toArray();
      exchange.sendBare(from, new MembershipBody.ItemRequest(limited));
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
        exchange.table.bucket(bucket).stream()
            .filter(entry -> ids.contains(entry.id))
            .map(MemberEntry::member)
            .toList();
    List<GossipEntry> entries =
        exchange.store.bucket(bucket).stream()
            .filter(entry -> ids.contains(ItemHash.ofEntry(entry.key())))
            .toList();
    exchange.sendItems(to, members, entries);
  }
}
