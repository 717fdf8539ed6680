package org.acaciapond.membership.internal;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.acaciapond.membership.GossipEntry;
import org.acaciapond.membership.GossipStore;
import org.acaciapond.membership.MembershipBody;
import org.acaciapond.membership.MembershipErrorCode;
import org.acaciapond.membership.MembershipException;
import org.jspecify.annotations.Nullable;

/** In-memory store of replicated values, limited in their number and size. */
public final class ReplicatedStore implements GossipStore {

  /** Limit of the number of keys. */
  public static final int MAX_ENTRIES = 4_096;

  /** Limit of a key, encoded in UTF-8. */
  public static final int MAX_KEY_BYTES = 200;

  /** Limit of a value; together with the longest key it fits into one packet. */
  public static final int MAX_VALUE_BYTES = 700;

  private final ConcurrentHashMap<String, GossipEntry> entries = new ConcurrentHashMap<>();
  private final int[] digests = new int[MembershipBody.BUCKETS];
  private final Queue<String> published = new ConcurrentLinkedQueue<>();
  private final List<Consumer<GossipEntry>> listeners = new CopyOnWriteArrayList<>();

  @Override
  public boolean publish(GossipEntry entry) {
    if (!isWithinLimits(entry)) {
      throw new MembershipException(
          MembershipErrorCode.GOSSIP_ENTRY_TOO_LONG,
          entry.key()
              + ": key or value too long; the value has "
              + entry.value().length
              + (" bytes, the limit is "
                  + MAX_VALUE_BYTES
                  + " bytes, and "
                  + MAX_KEY_BYTES
                  + " bytes for a key"));
    }
    if (!entries.containsKey(entry.key()) && entries.size() >= MAX_ENTRIES) {
      throw new MembershipException(
          MembershipErrorCode.GOSSIP_STORE_FULL,
          entries.size() + " entries in the gossip store, which is the limit");
    }
    if (!merge(entry)) {
      return false;
    }
    published.add(entry.key());
    return true;
  }

  /** Stores a value received from another node if it is newer and within the limits. */
  public boolean receive(GossipEntry entry) {
    return isWithinLimits(entry) && merge(entry);
  }

  private static boolean isWithinLimits(GossipEntry entry) {
    return entry.value().length <= MAX_VALUE_BYTES
        && entry.key().getBytes(StandardCharsets.UTF_8).length <= MAX_KEY_BYTES;
  }

  private boolean merge(GossipEntry entry) {
    synchronized (digests) {
      GossipEntry current = entries.get(entry.key());
      if (current != null && current.revision() >= entry.revision()) {
        return false;
      }
      if (current == null && entries.size() >= MAX_ENTRIES) {
        return false;
      }
      long id = ItemHash.ofEntry(entry.key());
      int bucket = ItemHash.bucket(id);
      digests[bucket] += ItemHash.version(id, entry);
      digests[bucket] -= current == null ? 0 : ItemHash.version(id, current);
      entries.put(entry.key(), entry);
    }
    listeners.forEach(listener -> listener.accept(entry));
    return true;
  }

  @Override
  public Optional<GossipEntry> get(String key) {
    return Optional.ofNullable(entries.get(key));
  }

  /** Returns the value of a key, or null. */
  public @Nullable GossipEntry find(String key) {
    return entries.get(key);
  }

  @Override
  public List<GossipEntry> list(String prefix) {
    return entries.values().stream().filter(entry -> entry.key().startsWith(prefix)).toList();
  }

  @Override
  public void addListener(Consumer<GossipEntry> listener) {
    listeners.add(listener);
  }

  /** Returns the keys published on this node since the last call. */
  public List<String> drainPublished() {
    List<String> keys = new ArrayList<>();
    for (String key = published.poll(); key != null; key = published.poll()) {
      keys.add(key);
    }
    return keys;
  }

  /** Returns the values of a bucket. */
  public List<GossipEntry> bucket(int index) {
    return entries.values().stream()
        .filter(entry -> ItemHash.bucket(ItemHash.ofEntry(entry.key())) == index)
        .toList();
  }

  /** Returns the digest of a bucket. */
  public int digest(int bucket) {
    synchronized (digests) {
      return digests[bucket];
    }
  }
}
