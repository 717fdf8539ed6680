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

/** Updates that this node still passes on, those sent least often first. */
public final class UpdateQueue {

  /** Limit of the waiting updates; comparison of buckets delivers those that are dropped. */
  static final int MAX_UPDATES = 4_096;

  /** Each update is sent this many times the binary logarithm of the number of members. */
  private static final int RETRANSMIT_FACTOR = 2;

  private static final int LEVELS = 64;

  /** Burst of the byte allowance: about 1,000 records, as when a failure domain restarts. */
  private static final int BURST_BYTES = 128 * 1024;

  private final MemberTable table;
  private final ReplicatedStore store;
  private final int bytesPerSecond;
  private final long maxAgeMs;
  private final Map<Long, Update> current = new HashMap<>();
  private final List<Deque<Update>> levels = new ArrayList<>();
  private double allowanceBytes = BURST_BYTES;
  private long refilledAtMs;

  /** Update of one item; the content is looked up when it is sent, so that it is the newest. */
  private record Update(long id, @Nullable String hostId, @Nullable String key, long addedAtMs) {}

  /**
   * Creates an empty queue.
   *
   * @param table content of the updates of members
   * @param store content of the updates of replicated values
   * @param settings limit of the bytes; updates are dropped once a comparison of all state is due,
   *     since after a mass restart they would otherwise be sent for hours
   * @param nowMs current time
   */
  public UpdateQueue(
      MemberTable table, ReplicatedStore store, MembershipSettings settings, long nowMs) {
    this.table = table;
    this.store = store;
    this.bytesPerSecond = settings.updateBytesPerSecond();
    this.maxAgeMs = settings.antiEntropyIntervalMs();
    this.refilledAtMs = nowMs;
    for (int i = 0; i < LEVELS; i++) {
      levels.add(new ArrayDeque<>());
    }
  }

  /** Adds the current record of a member. */
  public void addMember(String hostId) {
    add(new Update(ItemHash.ofMember(hostId), hostId, null, refilledAtMs));
  }

  /** Adds the current value of a key. */
  public void addEntry(String key) {
    add(new Update(ItemHash.ofEntry(key), null, key, refilledAtMs));
  }

  private void add(Update update) {
    if (current.size() >= MAX_UPDATES && !current.containsKey(update.id())) {
      dropMostSent();
    }
    current.put(update.id(), update);
    levels.get(0).add(update);
  }

  private void dropMostSent() {
    for (int level = LEVELS - 1; level >= 0; level--) {
      for (Update dropped = levels.get(level).pollLast();
          dropped != null;
          dropped = levels.get(level).pollLast()) {
        if (current.remove(dropped.id(), dropped)) {
          return;
        }
      }
    }
  }

  /** Returns the number of waiting updates. */
  public int size() {
    return current.size();
  }

  /** Refills the byte allowance. */
  public void refill(long nowMs) {
    double earned = (nowMs - refilledAtMs) * bytesPerSecond / 1_000.0;
    allowanceBytes = Math.min(BURST_BYTES, allowanceBytes + earned);
    refilledAtMs = nowMs;
  }

  /** Adds waiting updates to a packet until it is full or the byte allowance is used up. */
  public void fill(PacketBuilder packet) {
    int limit = Math.min(LEVELS, retransmissions(table.liveCount()));
    List<Update> sent = new ArrayList<>();
    List<Integer> sentLevels = new ArrayList<>();
    boolean full = false;
    for (int level = 0; level < limit && !full; level++) {
      Deque<Update> queue = levels.get(level);
      while (!queue.isEmpty()) {
        Update update = queue.peek();
        if (isOutdated(update)) {
          queue.poll();
          current.remove(update.id(), update);
          continue;
        }
        int bytes = append(update, packet);
        if (bytes < 0) {
          full = true;
          break;
        }
        queue.poll();
        if (bytes == 0) {
          current.remove(update.id(), update);
          continue;
        }
        allowanceBytes -= bytes;
        sent.add(update);
        sentLevels.add(level);
      }
    }
    for (int i = 0; i < sent.size(); i++) {
      requeue(sent.get(i), sentLevels.get(i) + 1, limit);
    }
  }

  private boolean isOutdated(Update update) {
    return current.get(update.id()) != update || refilledAtMs - update.addedAtMs() >= maxAgeMs;
  }

  private void requeue(Update update, int level, int limit) {
    if (level >= limit) {
      current.remove(update.id(), update);
    } else {
      levels.get(level).add(update);
    }
  }

  /** Returns the bytes added, 0 when the item is gone, or -1 when there is no room for it. */
  private int append(Update update, PacketBuilder packet) {
    if (update.hostId() != null) {
      MemberEntry entry = table.get(update.hostId());
      return entry == null ? 0 : appendMember(entry.member(), packet);
    }
    GossipEntry entry = update.key() == null ? null : store.find(update.key());
    if (entry == null) {
      return 0;
    }
    int bytes = WireSize.of(entry);
    return bytes <= allowanceBytes && packet.add(entry) ? bytes : -1;
  }

  private int appendMember(Member member, PacketBuilder packet) {
    int bytes = WireSize.of(member);
    return bytes <= allowanceBytes && packet.add(member) ? bytes : -1;
  }

  private static int retransmissions(int members) {
    int log = Integer.SIZE - Integer.numberOfLeadingZeros(members + 1);
    return RETRANSMIT_FACTOR * log;
  }
}
