package org.acaciapond.mesh.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.acaciapond.mesh.store.StoreRow;
import org.acaciapond.mesh.store.StoreVersion;

/**
 * Operator rows that a node holds, with the version of the store up to which it knows all of them.
 * A row that is not held was removed if its version is not above that one, so a late message cannot
 * restore it and no list of removed rows is needed.
 */
public final class OperatorRows {

  private static final byte[] EMPTY = {};
  // Multipliers of the finalizer of MurmurHash3.
  private static final long MIX_1 = 0xff51afd7ed558ccdL;
  private static final long MIX_2 = 0xc4ceb9fe1a85ec53L;

  private final RowHistory history = new RowHistory();
  private StoreVersion completeTo = StoreVersion.NONE;
  private long digest;

  /**
   * Applies all rows of the table.
   *
   * @param version version of the store at which rows that are not in the table were absent
   * @return the rows that took effect; a row that is absent from the table as a removed one
   */
  public List<StoreRow> applyTable(List<StoreRow> table, StoreVersion version) {
    Set<String> absent = new HashSet<>(history.keys());
    table.forEach(row -> absent.remove(row.key()));
    return apply(table, absent, version, true);
  }

  /**
   * Applies changes in the order of the store, which follow on what it returned before.
   *
   * @param version version of the store that the changes lead to
   * @return the rows that took effect
   */
  public List<StoreRow> applyChanges(List<StoreRow> changes, StoreVersion version) {
    return apply(changes, List.of(), version, true);
  }

  /**
   * Applies rows of a peer.
   *
   * @param rows rows that are newer than those held here
   * @param removed keys that are removed as of the version
   * @param version version of the store up to which the peer knows all rows
   * @param complete whether these are all rows that this node lacks
   * @return the rows that took effect
   */
  public List<StoreRow> applyPeerRows(
      List<StoreRow> rows, List<String> removed, StoreVersion version, boolean complete) {
    return apply(rows, removed, version, complete);
  }

  private List<StoreRow> apply(
      List<StoreRow> rows, Collection<String> absent, StoreVersion version, boolean complete) {
    final StoreVersion knownTo = completeTo;
    List<StoreRow> applied = new ArrayList<>();
    for (StoreRow row : rows) {
      if (isNewer(row, knownTo)) {
        store(row);
        applied.add(row);
      }
    }
    for (String key : absent) {
      StoreVersion held = history.versionOf(key);
      if (!held.equals(StoreVersion.NONE) && !held.isAfter(version)) {
        history.remove(key);
        applied.add(new StoreRow(key, EMPTY, version, true));
      }
    }
    if (complete) {
      completeTo = StoreVersion.max(completeTo, version);
    }
    if (!applied.isEmpty()) {
      digest = computeDigest();
    }
    return applied;
  }

  private boolean isNewer(StoreRow row, StoreVersion knownTo) {
    StoreVersion held = history.versionOf(row.key());
    return held.equals(StoreVersion.NONE)
        ? !row.removed() && row.version().isAfter(knownTo)
        : row.version().isAfter(held);
  }

  private void store(StoreRow row) {
    if (row.removed()) {
      history.remove(row.key());
    } else {
      history.record(new PeerMessage.StateRow(row.key(), row.version(), row.value()));
    }
  }

  private long computeDigest() {
    long sum = 0;
    for (PeerMessage.HeldRow row : history.held()) {
      sum += mix(mix(row.key().hashCode()) ^ row.rowVersion().toNumber());
    }
    return sum;
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 33)) * MIX_1;
    mixed = (mixed ^ (mixed >>> 33)) * MIX_2;
    return mixed ^ (mixed >>> 33);
  }

  /**
   * Compares the rows of a peer with those held here. Equal rows that the peer knows to be complete
   * up to a later version are so here as well.
   *
   * @return whether the peer has rows, or knows of removals, that this node lacks
   */
  public boolean isBehind(StateSummary peer) {
    if (peer.digest() == digest) {
      completeTo = StoreVersion.max(completeTo, peer.completeTo());
    }
    return peer.completeTo().isAfter(completeTo);
  }

  /** Returns the response to the request of a peer. */
  public PeerMessage.StateDeltas changesFor(List<PeerMessage.HeldRow> request) {
    List<PeerMessage.HeldRow> held = request.stream().map(this::inOwnEra).toList();
    List<String> removed = new ArrayList<>();
    for (PeerMessage.HeldRow row : held) {
      if (history.versionOf(row.key()).equals(StoreVersion.NONE)
          && !row.rowVersion().isAfter(completeTo)) {
        removed.add(row.key());
      }
    }
    return new PeerMessage.StateDeltas(history.newerThan(held), completeTo, removed);
  }

  // A node of an earlier release that holds rows has most likely read them in the present era.
  private PeerMessage.HeldRow inOwnEra(PeerMessage.HeldRow row) {
    return new PeerMessage.HeldRow(row.key(), row.rowVersion().inEraIfUnknown(completeTo.era()));
  }

  /** Returns the summary for peers. */
  public StateSummary summary() {
    return new StateSummary(completeTo, digest);
  }

  /** Returns the version of the store up to which all rows are known. */
  public StoreVersion completeTo() {
    return completeTo;
  }

  /** Returns the latest version of the rows for nodes that do not know eras, -1 for none. */
  public long rowVersion() {
    return history.held().stream()
        .map(PeerMessage.HeldRow::rowVersion)
        .max(Comparator.naturalOrder())
        .orElse(StoreVersion.NONE)
        .version();
  }

  /** Returns the rows and their earlier values. */
  public RowHistory history() {
    return history;
  }
}
