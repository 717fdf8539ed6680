package org.acaciapond.mesh.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.acaciapond.mesh.store.StoreRow;
import org.acaciapond.mesh.store.StoreVersion;
import org.junit.jupiter.api.Test;

class OperatorRowsTest {

  private static final String KEY = "evacuate/a";

  private final OperatorRows reader = new OperatorRows();
  private final OperatorRows follower = new OperatorRows();

  private static StoreVersion version(long version) {
    return new StoreVersion(1, version);
  }

  private static StoreRow row(String key, long version) {
    return new StoreRow(key, new byte[] {(byte) version}, version(version), false);
  }

  private static StoreRow removed(String key, long version) {
    return new StoreRow(key, new byte[0], version(version), true);
  }

  private static List<String> keys(OperatorRows rows) {
    return rows.history().keys().stream().sorted().toList();
  }

  private static void pull(OperatorRows from, OperatorRows to) {
    if (to.isBehind(from.summary())) {
      apply(to, from.changesFor(to.history().held()));
    }
  }

  private static void apply(OperatorRows to, PeerMessage.StateDeltas deltas) {
    List<StoreRow> rows = new ArrayList<>();
    for (PeerMessage.RowDelta delta : deltas.rows()) {
      PeerMessage.StateRow restored = to.history().restore(delta);
      rows.add(new StoreRow(restored.key(), restored.value(), restored.rowVersion(), false));
    }
    to.applyPeerRows(rows, deltas.removed(), deltas.completeTo(), true);
  }

  /** Guards against nodes that hold a removed order, as they do not read the store. */
  @Test
  void removalReachesNodeThatDoesNotReadTheStore() {
    reader.applyChanges(List.of(row(KEY, 3)), version(3));
    pull(reader, follower);
    assertEquals(List.of(KEY), keys(follower));

    reader.applyChanges(List.of(removed(KEY, 5)), version(5));
    pull(reader, follower);

    assertEquals(List.of(), keys(follower));
  }

  /** Guards against a removed order that a node learned of by reading the whole table. */
  @Test
  void rowThatIsAbsentFromTheTableIsRemoved() {
    follower.applyChanges(List.of(row(KEY, 3), row("config", 2)), version(3));
    reader.applyTable(List.of(row("config", 2)), version(6));

    pull(reader, follower);

    assertEquals(List.of("config"), keys(follower));
    assertEquals(
        List.of(true),
        reader.applyTable(List.of(row(KEY, 7)), version(8)).stream()
            .filter(each -> each.key().equals("config"))
            .map(StoreRow::removed)
            .toList());
  }

  /** Guards against a late message of a node that has not heard of the removal. */
  @Test
  void lateRowDoesNotRestoreRemovedOne() {
    follower.applyChanges(List.of(row(KEY, 3)), version(3));
    reader.applyTable(List.of(row("config", 2)), version(6));

    assertFalse(reader.isBehind(follower.summary()));
    apply(reader, follower.changesFor(List.of()));

    assertEquals(List.of("config"), keys(reader));
  }

  @Test
  void newOrderAfterRemovalTakesEffect() {
    reader.applyChanges(List.of(row(KEY, 3), removed(KEY, 4), row(KEY, 5)), version(5));
    follower.applyChanges(List.of(row(KEY, 3), removed(KEY, 4)), version(4));
    final PeerMessage.StateDeltas beforeOrder = follower.changesFor(reader.history().held());

    pull(reader, follower);
    apply(reader, beforeOrder);

    assertEquals(List.of(KEY), keys(follower));
    assertEquals(List.of(KEY), keys(reader));
  }

  /** Guards against requests for the state whenever other tables of the store change. */
  @Test
  void nodeWithTheSameRowsIsNotBehind() {
    reader.applyChanges(List.of(row(KEY, 3)), version(3));
    pull(reader, follower);
    reader.applyChanges(List.of(), version(90));

    assertFalse(follower.isBehind(reader.summary()));
    assertEquals(version(90), follower.completeTo());
  }

  /** Guards against a node that keeps rows of an earlier era, or restores them from a late peer. */
  @Test
  void rowsOfLaterEraReplaceThoseWithHigherVersions() {
    follower.applyChanges(List.of(row("config", 50), row(KEY, 60)), version(60));
    final PeerMessage.StateDeltas late = follower.changesFor(List.of());
    StoreRow copied = new StoreRow("config", new byte[] {4}, new StoreVersion(2, 40), false);
    reader.applyTable(List.of(copied), new StoreVersion(2, 45));

    pull(reader, follower);
    apply(reader, late);

    assertEquals(List.of("config"), keys(follower));
    assertEquals(List.of("config"), keys(reader));
    assertEquals(new StoreVersion(2, 40), follower.history().versionOf("config"));
    assertEquals(new StoreVersion(2, 45), follower.completeTo());
    assertFalse(reader.isBehind(new StateSummary(version(70), 1)));
  }

  /** Nodes that pull from each other in any order end with the rows of the store. */
  @Test
  void allNodesEndWithTheRowsOfTheStore() {
    for (int seed = 0; seed < 200; seed++) {
      Random random = new Random(seed);
      Map<String, StoreRow> table = new TreeMap<>();
      List<StoreRow> log = new ArrayList<>();
      List<OperatorRows> nodes =
          List.of(new OperatorRows(), new OperatorRows(), new OperatorRows());
      int readTo = 0;
      for (int version = 1; version <= 40; version++) {
        String key = "k" + random.nextInt(3);
        StoreRow change = table.containsKey(key) ? removed(key, version) : row(key, version);
        if (change.removed()) {
          table.remove(key);
        } else {
          table.put(key, change);
        }
        log.add(change);
        if (random.nextInt(3) == 0) {
          nodes.get(0).applyChanges(List.copyOf(log.subList(readTo, version)), version(version));
          readTo = version;
        }
        if (random.nextInt(5) == 0) {
          nodes.get(1).applyTable(List.copyOf(table.values()), version(version));
        }
        pull(nodes.get(random.nextInt(3)), nodes.get(random.nextInt(3)));
      }
      nodes.get(0).applyChanges(log.subList(readTo, log.size()), version(log.size()));
      pull(nodes.get(0), nodes.get(2));
      pull(nodes.get(2), nodes.get(1));
      for (OperatorRows node : nodes) {
        assertEquals(List.copyOf(table.keySet()), keys(node), "seed " + seed);
      }
      assertTrue(nodes.get(0).summary().equals(nodes.get(2).summary()), "seed " + seed);
    }
  }
}
