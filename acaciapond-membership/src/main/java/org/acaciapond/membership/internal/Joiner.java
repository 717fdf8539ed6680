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

/** Client side of the join: pulls the whole state from another node, one part at a time. */
public final class Joiner {

  /** Upper bound of the random delay before the first pull, which spreads out mass restarts. */
  private static final long START_JITTER_MS = 500;

  /** Time without a response after which a part is requested again. */
  private static final long RESPONSE_TIMEOUT_MS = 2_000;

  private static final long MAX_BACKOFF_MS = 10_000;
  private static final int MAX_ATTEMPTS_PER_PART = 2;

  private final GossipContext context;
  private List<NodeAddress> seeds;
  private boolean joined;
  private int nextBucket;
  private int partAttempts;
  private int failures;
  private long nextPullMs;
  private NodeAddress source;

  /** Creates a joiner that has not pulled anything yet. */
  public Joiner(GossipContext context, List<NodeAddress> seeds) {
    this.context = context;
    this.seeds = seeds;
    this.source = NodeAddress.of(context.self());
    this.nextPullMs = context.nowMs() + context.random.nextLong(START_JITTER_MS);
  }

  /** Returns whether the transfer is complete. */
  public boolean isJoined() {
    return joined;
  }

  /** Replaces the seeds. */
  public void setSeeds(List<NodeAddress> seeds) {
    this.seeds = seeds;
  }

  /**
   * Returns whether a transfer is still needed; records received until then are not gossiped
   * further.
   */
  public boolean isJoining() {
    return !joined && !otherSeeds().isEmpty();
  }

  /** Returns the seeds other than this node. */
  public List<NodeAddress> otherSeeds() {
    NodeAddress own = NodeAddress.of(context.self());
    return seeds.stream().filter(address -> !address.equals(own)).toList();
  }

  /** Requests the next part when it is due. */
  public void tick() {
    if (joined || context.nowMs() < nextPullMs) {
      return;
    }
    List<NodeAddress> sources = transferSources();
    if (sources.isEmpty()) {
      nextPullMs = context.nowMs() + START_JITTER_MS;
      return;
    }
    if (nextBucket == 0 || ++partAttempts > MAX_ATTEMPTS_PER_PART) {
      source = sources.get(context.random.nextInt(sources.size()));
      partAttempts = 0;
      failures++;
    }
    sendPull();
  }

  private List<NodeAddress> transferSources() {
    List<NodeAddress> result = new ArrayList<>(otherSeeds());
    MemberEntry inside =
        context.table.randomInDomain(
            context.self().failureDomain(), context.self().hostId(), context.random);
    if (inside != null) {
      result.add(NodeAddress.of(inside.member()));
    }
    MemberEntry outside =
        context.table.randomOutside(context.self().failureDomain(), context.random);
    if (outside != null) {
      result.add(NodeAddress.of(outside.member()));
    }
    return result;
  }

  private void sendPull() {
    PacketBuilder packet = new PacketBuilder(context.self(), new MembershipBody.Pull(nextBucket));
    packet.add(context.self());
    context.send(source, packet);
    long backoffMs = Math.min(MAX_BACKOFF_MS, RESPONSE_TIMEOUT_MS << Math.min(failures, 3));
    nextPullMs =
        context.nowMs() + context.jitter(nextBucket == 0 ? backoffMs : RESPONSE_TIMEOUT_MS);
  }

  /** Requests the part after the one received; returns whether the transfer is complete. */
  public boolean onPullDone(NodeAddress from, MembershipBody.PullDone done) {
    if (joined || !from.equals(source) || done.nextBucket() <= nextBucket) {
      return false;
    }
    nextBucket = done.nextBucket();
    partAttempts = 0;
    if (nextBucket >= MembershipBody.BUCKETS) {
      joined = true;
      context.addAction(new MembershipAction.Notify(MembershipEvent.JOINED));
    } else {
      sendPull();
    }
    return joined;
  }

  /** Schedules the next attempt after the delay that the other node asked for. */
  public void onPullDeferred(NodeAddress from, MembershipBody.PullDeferred deferral) {
    if (!joined && from.equals(source)) {
      failures = 0;
      partAttempts = 0;
      nextPullMs = context.nowMs() + context.jitter(deferral.retryAfterMs());
    }
  }

  /** Server side of the join: limits concurrent transfers and their total bandwidth. */
  public static final class Admission {

    /** With parts of 16 KiB, four concurrent transfers keep at most 64 KiB in flight. */
    private static final int MAX_TRANSFERS = 4;

    private static final int PART_BYTES = 16 * 1024;
    private static final int RETRY_AFTER_MS = 1_000;
    private static final int REFERRALS = 2;

    /** Bandwidth limit of all transfers together; a transfer of 7,700 records takes about 4 s. */
    private static final int BYTES_PER_SECOND = 256 * 1024;

    private static final int BURST_BYTES = 128 * 1024;

    private final GossipContext context;
    private final Map<NodeAddress, Long> lastPullMsByNode = new HashMap<>();
    private double availableBytes = BURST_BYTES;
    private long lastRefillMs;
    private long deferredCount;

    /** Creates an admission with a full byte allowance. */
    public Admission(GossipContext context) {
      this.context = context;
      this.lastRefillMs = context.nowMs();
    }

    /** Returns the number of pulls that were deferred. */
    public long deferredPulls() {
      return deferredCount;
    }

    /** Sends a part, or defers the node when a limit is reached. */
    public void onPull(NodeAddress from, MembershipBody.Pull request) {
      refill();
      lastPullMsByNode
          .values()
          .removeIf(lastPullMs -> context.nowMs() - lastPullMs >= RESPONSE_TIMEOUT_MS);
      boolean admitted =
          lastPullMsByNode.containsKey(from) || lastPullMsByNode.size() < MAX_TRANSFERS;
      if (!admitted || availableBytes <= 0) {
        deferredCount++;
        defer(from);
        return;
      }
      lastPullMsByNode.put(from, context.nowMs());
      int next = sendPart(from, request.fromBucket());
      if (next >= MembershipBody.BUCKETS) {
        lastPullMsByNode.remove(from);
      }
    }

    private void refill() {
      double earnedBytes = (context.nowMs() - lastRefillMs) * BYTES_PER_SECOND / 1_000.0;
      availableBytes = Math.min(BURST_BYTES, availableBytes + earnedBytes);
      lastRefillMs = context.nowMs();
    }

    /** Defers a node and names other nodes to pull from, which spreads the load over the fleet. */
    private void defer(NodeAddress to) {
      PacketBuilder packet =
          new PacketBuilder(context.self(), new MembershipBody.PullDeferred(RETRY_AFTER_MS));
      for (int i = 0; i < REFERRALS; i++) {
        MemberEntry inside =
            context.table.randomInDomain(
                context.self().failureDomain(), context.self().hostId(), context.random);
        MemberEntry outside =
            context.table.randomOutside(context.self().failureDomain(), context.random);
        if (inside != null) {
          packet.add(inside.member());
        }
        if (outside != null) {
          packet.add(outside.member());
        }
      }
      context.send(to, packet);
    }

    private int sendPart(NodeAddress to, int fromBucket) {
      List<Member> members = new ArrayList<>();
      List<GossipEntry> entries = new ArrayList<>();
      int bytes = 0;
      int bucket = fromBucket;
      while (bucket < MembershipBody.BUCKETS && bytes < PART_BYTES) {
        for (MemberEntry entry : context.table.bucket(bucket)) {
          members.add(entry.member());
          bytes += WireSize.of(entry.member());
        }
        for (GossipEntry entry : context.store.bucket(bucket)) {
          entries.add(entry);
          bytes += WireSize.of(entry);
        }
        bucket++;
      }
      availableBytes -= bytes;
      context.sendItems(to, members, entries);
      context.sendWithoutUpdates(to, new MembershipBody.PullDone(bucket));
      return bucket;
    }
  }
}
