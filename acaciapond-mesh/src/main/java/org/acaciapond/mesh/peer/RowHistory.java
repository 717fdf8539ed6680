package org.acaciapond.mesh.peer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.acaciapond.mesh.store.StoreVersion;
import org.jspecify.annotations.Nullable;

/**
 * Current operator rows with their latest earlier values. Nodes send each other the difference from
 * a value that the receiver holds, because links are too slow to send a large state to all nodes of
 * a failure domain at each change.
 */
public final class RowHistory {

  /** Version of a row that is requested as a whole. */
  public static final StoreVersion WHOLE = StoreVersion.ABSENT;

  private static final byte[] EMPTY = {};
  // A node that is further behind receives the whole row.
  private static final int MAX_VALUES_PER_ROW = 8;
  private static final int MAX_BYTES_PER_ROW = 4 << 20;

  private final Map<String, Values> rows = new HashMap<>();

  /** Values of one row, the current one first, and the deltas from earlier ones to it. */
  private static final class Values {
    final Deque<PeerMessage.StateRow> latestFirst = new ArrayDeque<>();
    final Map<StoreVersion, byte[]> deltas = new HashMap<>();

    PeerMessage.StateRow current() {
      return latestFirst.getFirst();
    }

    byte @Nullable [] find(StoreVersion rowVersion) {
      for (PeerMessage.StateRow value : latestFirst) {
        if (value.rowVersion().equals(rowVersion)) {
          return value.value();
        }
      }
      return null;
    }
  }

  /** Records the new value of a row. */
  public void record(PeerMessage.StateRow row) {
    Values values = rows.computeIfAbsent(row.key(), key -> new Values());
    values.latestFirst.addFirst(row);
    values.deltas.clear();
    evictEarliest(values.latestFirst);
  }

  private static void evictEarliest(Deque<PeerMessage.StateRow> latestFirst) {
    int count = 0;
    long bytes = 0;
    for (Iterator<PeerMessage.StateRow> each = latestFirst.iterator(); each.hasNext(); ) {
      bytes += each.next().value().length;
      count++;
      if (count > 1 && (count > MAX_VALUES_PER_ROW || bytes > MAX_BYTES_PER_ROW)) {
        each.remove();
      }
    }
  }

  /** Forgets a removed row. */
  public void remove(String key) {
    rows.remove(key);
  }

  /** Returns the keys of the current rows. */
  public Set<String> keys() {
    return Set.copyOf(rows.keySet());
  }

  /** Returns the version of a row, {@link StoreVersion#NONE} if there is none. */
  public StoreVersion versionOf(String key) {
    Values values = rows.get(key);
    return values == null ? StoreVersion.NONE : values.current().rowVersion();
  }

  /** Returns the current rows. */
  public List<PeerMessage.StateRow> current() {
    return rows.values().stream().map(Values::current).toList();
  }

  /** Returns the keys and versions of the current rows. */
  public List<PeerMessage.HeldRow> held() {
    return rows.values().stream()
        .map(Values::current)
        .map(row -> new PeerMessage.HeldRow(row.key(), row.rowVersion()))
        .toList();
  }

  /** Returns the rows that are newer than those that another node holds. */
  public List<PeerMessage.RowDelta> newerThan(Collection<PeerMessage.HeldRow> held) {
    Map<String, StoreVersion> heldVersions = new HashMap<>();
    held.forEach(row -> heldVersions.put(row.key(), row.rowVersion()));
    List<PeerMessage.RowDelta> newer = new ArrayList<>();
    for (Values values : rows.values()) {
      PeerMessage.StateRow current = values.current();
      StoreVersion heldVersion = heldVersions.getOrDefault(current.key(), WHOLE);
      if (current.rowVersion().isAfter(heldVersion)) {
        newer.add(delta(values, heldVersion));
      }
    }
    return newer;
  }

  private static PeerMessage.RowDelta delta(Values values, StoreVersion heldVersion) {
    PeerMessage.StateRow current = values.current();
    byte[] base = values.find(heldVersion);
    StoreVersion baseVersion = base == null ? WHOLE : heldVersion;
    byte[] delta =
        values.deltas.computeIfAbsent(
            baseVersion, key -> StateDelta.encode(base == null ? EMPTY : base, current.value()));
    return new PeerMessage.RowDelta(current.key(), current.rowVersion(), baseVersion, delta);
  }

  /**
   * Restores the value of a row from its difference to an earlier one.
   *
   * @throws PeerException if the earlier value is not known or the difference is malformed
   */
  public PeerMessage.StateRow restore(PeerMessage.RowDelta row) {
    byte[] base =
        row.baseVersion().version() == WHOLE.version() ? EMPTY : find(row.key(), row.baseVersion());
    if (base == null) {
      throw new PeerException(
          PeerErrorCode.MALFORMED_MESSAGE,
          "row " + row.key() + ": version " + row.baseVersion() + " is not known",
          null);
    }
    byte[] value = StateDelta.decode(base, row.delta());
    return new PeerMessage.StateRow(row.key(), row.rowVersion(), value);
  }

  private byte @Nullable [] find(String key, StoreVersion rowVersion) {
    Values values = rows.get(key);
    return values == null ? null : values.find(rowVersion);
  }
}
