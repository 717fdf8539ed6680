package org.acaciapond.membership.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.acaciapond.membership.GossipEntry;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MembershipSettings;
import org.jspecify.annotations.Nullable;

/** Queue of the updates to piggyback on messages; those sent least often come first. */
public final class UpdateQueue {

  /** Limit of the queued updates; anti-entropy delivers those that are dropped. */
  static final int MAX_UPDATES = 4_096;

  /** An update is sent up to this factor times the binary logarithm of the number of members. */
  private static final int RETRANSMIT_FACTOR = 2;

  private static final int MAX_SEND_COUNT = 64;

  /**
   * Burst of the byte allowance: about 1,000 records, enough for the restart of a failure domain.
   */
  private static final int BURST_BYTES = 128 * 1024;

  private final MemberTable table;
  private final ReplicatedStore store;
  private final int bytesPerSecond;
  private final long maxAgeMs;
  private final Map<Long, Update> pendingById = new HashMap<>();
  private final List<Deque<Update>> queuesBySendCount = new ArrayList<>();
  private double availableBytes = BURST_BYTES;
  private long lastRefillMs;

  /** Update of one item; its content is looked up when it is sent, so that the latest is sent. */
  private record Update(long id, @Nullable String hostId, @Nullable String key, long addedAtMs) {}

  /**
   * Creates an empty queue.
   *
   * @param table source of the content of member updates
   * @param store source of the content of updates of replicated values
   * @param settings byte rate and maximum age of updates; an update is dropped after one
   *     anti-entropy interval, since after a mass restart the backlog would otherwise take hours to
   *     send
   * @param nowMs current time
   */
  public UpdateQueue(
      MemberTable table, ReplicatedStore store, MembershipSettings settings, long nowMs) {
    this.table = table;
    this.store = store;
    this.bytesPerSecond = settings.updateBytesPerSecond();
    this.maxAgeMs = settings.antiEntropyIntervalMs();
    this.lastRefillMs = nowMs;
    for (int i = 0; i < MAX_SEND_COUNT; i++) {
      queuesBySendCount.add(new ArrayDeque<>());
    }
  }

  /** Queues the current record of a member. */
  public void addMember(String hostId) {
    add(new Update(ItemHash.ofMember(hostId), hostId, null, lastRefillMs));
  }

  /** Queues the current value of a key. */
  public void addEntry(String key) {
    add(new Update(ItemHash.ofEntry(key), null, key, lastRefillMs));
  }

  private void add(Update update) {
    if (pendingById.size() >= MAX_UPDATES && !pendingById.containsKey(update.id())) {
      dropMostSentUpdate();
    }
    pendingById.put(update.id(), update);
    queuesBySendCount.get(0).add(update);
  }

  private void dropMostSentUpdate() {
    for (int sendCount = MAX_SEND_COUNT - 1; sendCount >= 0; sendCount--) {
      for (Update dropped = queuesBySendCount.get(sendCount).pollLast();
          dropped != null;
          dropped = queuesBySendCount.get(sendCount).pollLast()) {
        if (pendingById.remove(dropped.id(), dropped)) {
          return;
        }
      }
    }
  }

  /** Returns the number of queued updates. */
  public int size() {
    return pendingById.size();
  }

  /** Refills the byte allowance. */
  public void refill(long nowMs) {
    double earnedBytes = (nowMs - lastRefillMs) * bytesPerSecond / 1_000.0;
    availableBytes = Math.min(BURST_BYTES, availableBytes + earnedBytes);
    lastRefillMs = nowMs;
  }

  /** Adds queued updates to a packet until it is full or the byte allowance is used up. */
  public void fill(PacketBuilder packet) {
    int limit = Math.min(MAX_SEND_COUNT, sendLimit(table.liveCount()));
    List<Update> sent = new ArrayList<>();
    List<Integer> sentCounts = new ArrayList<>();
    boolean packetFull = false;
    for (int sendCount = 0; sendCount < limit && !packetFull; sendCount++) {
      Deque<Update> queue = queuesBySendCount.get(sendCount);
      while (!queue.isEmpty()) {
        Update update = queue.peek();
        if (isObsolete(update)) {
          queue.poll();
          pendingById.remove(update.id(), update);
          continue;
        }
        int bytes = tryAppend(update, packet);
        if (bytes < 0) {
          packetFull = true;
          break;
        }
        queue.poll();
        if (bytes == 0) {
          pendingById.remove(update.id(), update);
          continue;
        }
        availableBytes -= bytes;
        sent.add(update);
        sentCounts.add(sendCount);
      }
    }
    for (int i = 0; i < sent.size(); i++) {
      requeue(sent.get(i), sentCounts.get(i) + 1, limit);
    }
  }

  private boolean isObsolete(Update update) {
    return pendingById.get(update.id()) != update || lastRefillMs - update.addedAtMs() >= maxAgeMs;
  }

  private void requeue(Update update, int sendCount, int limit) {
    if (sendCount >= limit) {
      pendingById.remove(update.id(), update);
    } else {
      queuesBySendCount.get(sendCount).add(update);
    }
  }

  /** Returns the bytes added, 0 if the item no longer exists, or -1 if it does not fit. */
  private int tryAppend(Update update, PacketBuilder packet) {
    if (update.hostId() != null) {
      MemberEntry entry = table.get(update.hostId());
      return entry == null ? 0 : tryAppendMember(entry.member(), packet);
    }
    GossipEntry entry = update.key() == null ? null : store.find(update.key());
    if (entry == null) {
      return 0;
    }
    int bytes = WireSize.of(entry);
    return bytes <= availableBytes && packet.add(entry) ? bytes : -1;
  }

  private int tryAppendMember(Member member, PacketBuilder packet) {
    int bytes = WireSize.of(member);
    return bytes <= availableBytes && packet.add(member) ? bytes : -1;
  }

  private static int sendLimit(int members) {
    int bits = Integer.SIZE - Integer.numberOfLeadingZeros(members + 1);
    return RETRANSMIT_FACTOR * bits;
  }
}
