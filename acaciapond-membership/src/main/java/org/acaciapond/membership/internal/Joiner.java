package org.acaciapond.membership.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.acaciapond.membership.GossipEntry;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MembershipAction;
import org.acaciapond.membership.MembershipBody;
import org.acaciapond.membership.MembershipEvent;
import org.acaciapond.membership.NodeAddress;

/** Transfer of all state from one seed; the joining node asks for one part after another. */
public final class Joiner {

  /** Delay before the first contact is spread over this time, so that restarts do not storm. */
  private static final long START_SPREAD_MS = 500;

  private static final long ANSWER_TIMEOUT_MS = 2_000;
  private static final long MAX_BACKOFF_MS = 10_000;
  private static final int MAX_ATTEMPTS_PER_PART = 2;

  private final Exchange exchange;
  private List<NodeAddress> seeds;
  private boolean joined;
  private int nextBucket;
  private int attempts;
  private int failures;
  private long nextMs;
  private NodeAddress seed;

  /** Creates a joiner. */
  public Joiner(Exchange exchange, List<NodeAddress> seeds) {
    this.exchange = exchange;
    this.seeds = seeds;
    this.seed = NodeAddress.of(exchange.self());
    this.nextMs = exchange.nowMs() + exchange.random.nextLong(START_SPREAD_MS);
  }

  /** Returns whether the transfer is complete. */
  public boolean isJoined() {
    return joined;
  }

  /** Replaces the seeds. */
  public void setSeeds(List<NodeAddress> seeds) {
    this.seeds = seeds;
  }

  /** Returns whether a transfer is wanted; what arrives until then is no news to the others. */
  public boolean isJoining() {
    return !joined && !otherSeeds().isEmpty();
  }

  /** Returns the seeds other than this node. */
  public List<NodeAddress> otherSeeds() {
    NodeAddress own = NodeAddress.of(exchange.self());
    return seeds.stream().filter(address -> !address.equals(own)).toList();
  }

  /** Asks for the next part when it is due. */
  public void tick() {
    if (joined || exchange.nowMs() < nextMs) {
      return;
    }
    List<NodeAddress> candidates = candidates();
    if (candidates.isEmpty()) {
      nextMs = exchange.nowMs() + START_SPREAD_MS;
      return;
    }
    if (nextBucket == 0 || ++attempts > MAX_ATTEMPTS_PER_PART) {
      seed = candidates.get(exchange.random.nextInt(candidates.size()));
      attempts = 0;
      failures++;
    }
    pull();
  }

  private List<NodeAddress> candidates() {
    List<NodeAddress> result = new ArrayList<>(otherSeeds());
    MemberEntry known =
        exchange.table.randomInDomain(
            exchange.self().failureDomain(), exchange.self().hostId(), exchange.random);
    if (known != null) {
      result.add(NodeAddress.of(known.member()));
    }
    MemberEntry outside =
        exchange.table.randomOutside(exchange.self().failureDomain(), exchange.random);
    if (outside != null) {
      result.add(NodeAddress.of(outside.member()));
    }
    return result;
  }

  private void pull() {
    PacketBuilder packet = new PacketBuilder(exchange.self(), new MembershipBody.Pull(nextBucket));
    packet.add(exchange.self());
    exchange.send(seed, packet);
    long backoffMs = Math.min(MAX_BACKOFF_MS, ANSWER_TIMEOUT_MS << Math.min(failures, 3));
    nextMs = exchange.nowMs() + exchange.jitter(nextBucket == 0 ? backoffMs : ANSWER_TIMEOUT_MS);
  }

  /** Continues the transfer; returns whether it is complete with this part. */
  public boolean onPullDone(NodeAddress from, MembershipBody.PullDone done) {
    if (joined || !from.equals(seed) || done.nextBucket() <= nextBucket) {
      return false;
    }
    nextBucket = done.nextBucket();
    attempts = 0;
    if (nextBucket >= MembershipBody.BUCKETS) {
      joined = true;
      exchange.act(new MembershipAction.Notify(MembershipEvent.JOINED));
    } else {
      pull();
    }
    return joined;
  }

  /** Waits as the seed asked, then tries again. */
  public void onPullDeferred(NodeAddress from, MembershipBody.PullDeferred deferred) {
    if (!joined && from.equals(seed)) {
      failures = 0;
      attempts = 0;
      nextMs = exchange.nowMs() + exchange.jitter(deferred.retryAfterMs());
    }
  }

  /** Admission of other nodes that join; bounds the transfers served at the same time. */
  public static final class Admission {

    /** Parts of 16 KiB to four nodes keep what is on its way at a time under 64 KiB. */
    private static final int MAX_TRANSFERS = 4;

    private static final int PART_BYTES = 16 * 1024;
    private static final int RETRY_AFTER_MS = 1_000;
    private static final int REFERRALS = 2;

    /** Limit of all transfers together; a full transfer of 7,700 records takes about 4 s. */
    private static final int BYTES_PER_SECOND = 256 * 1024;

    private static final int BURST_BYTES = 128 * 1024;

    private final Exchange exchange;
    private final Map<NodeAddress, Long> active = new HashMap<>();
    private double allowanceBytes = BURST_BYTES;
    private long refilledAtMs;
    private long deferred;

    /** Creates an admission. */
    public Admission(Exchange exchange) {
      this.exchange = exchange;
      this.refilledAtMs = exchange.nowMs();
    }

    /** Returns the number of transfers that were put off. */
    public long deferred() {
      return deferred;
    }

    /** Sends a part, or puts the node off when enough others are served. */
    public void onPull(NodeAddress from, MembershipBody.Pull pull) {
      refill();
      active.values().removeIf(since -> exchange.nowMs() - since >= ANSWER_TIMEOUT_MS);
      boolean admitted = active.containsKey(from) || active.size() < MAX_TRANSFERS;
      if (!admitted || allowanceBytes <= 0) {
        deferred++;
        defer(from);
        return;
      }
      active.put(from, exchange.nowMs());
      int next = sendPart(from, pull.fromBucket());
      if (next >= MembershipBody.BUCKETS) {
        active.remove(from);
      }
    }

    private void refill() {
      double earned = (exchange.nowMs() - refilledAtMs) * BYTES_PER_SECOND / 1_000.0;
      allowanceBytes = Math.min(BURST_BYTES, allowanceBytes + earned);
      refilledAtMs = exchange.nowMs();
    }

    /** Puts a node off and names other nodes, so that the load spreads over the fleet. */
    private void defer(NodeAddress to) {
      PacketBuilder packet =
          new PacketBuilder(exchange.self(), new MembershipBody.PullDeferred(RETRY_AFTER_MS));
      for (int i = 0; i < REFERRALS; i++) {
        MemberEntry inside =
            exchange.table.randomInDomain(
                exchange.self().failureDomain(), exchange.self().hostId(), exchange.random);
        MemberEntry outside =
            exchange.table.randomOutside(exchange.self().failureDomain(), exchange.random);
        if (inside != null) {
          packet.add(inside.member());
        }
        if (outside != null) {
          packet.add(outside.member());
        }
      }
      exchange.send(to, packet);
    }

    private int sendPart(NodeAddress to, int fromBucket) {
      List<Member> members = new ArrayList<>();
      List<GossipEntry> entries = new ArrayList<>();
      int bytes = 0;
      int bucket = fromBucket;
      while (bucket < MembershipBody.BUCKETS && bytes < PART_BYTES) {
        for (MemberEntry entry : exchange.table.bucket(bucket)) {
          members.add(entry.member());
          bytes += WireSize.of(entry.member());
        }
        for (GossipEntry entry : exchange.store.bucket(bucket)) {
          entries.add(entry);
          bytes += WireSize.of(entry);
        }
        bucket++;
      }
      allowanceBytes -= bytes;
      exchange.sendItems(to, members, entries);
      exchange.sendBare(to, new MembershipBody.PullDone(bucket));
      return bucket;
    }
  }
}
