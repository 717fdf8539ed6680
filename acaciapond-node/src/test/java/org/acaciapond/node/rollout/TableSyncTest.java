package org.acaciapond.node.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.acaciapond.common.time.ManualTimeSource;
import org.acaciapond.platform.client.TableKeys;
import org.acaciapond.rollout.state.RolloutRow;
import org.acaciapond.rollout.state.TakenBackVersion;
import org.junit.jupiter.api.Test;

/** Guards the exchange of facts and rows between the table and gossip. */
class TableSyncTest {

  private static final String KEY =
      RolloutGossip.factKey(new TakenBackVersion(AnalyzerFixture.SERVICE, "v2"));
  private static final byte[] FACT = RolloutGossip.encodeFact("judge", "now", "errors");

  /** Longest value that gossip accepts. */
  private static final int GOSSIP_VALUE_BYTES = 700;

  private final ManualTimeSource time = new ManualTimeSource(AnalyzerFixture.START);
  private final FakePlatform.Table table = new FakePlatform.Table();
  private final FakePlatform platform = new FakePlatform(table);
  private final InMemoryGossipStore gossip = new InMemoryGossipStore();
  private boolean poller = true;
  private final TableSync sync = new TableSync(platform, gossip, time, () -> poller, Runnable::run);

  private void run(int seconds) {
    for (int i = 0; i < seconds; i++) {
      time.advance(Duration.ofSeconds(1));
      sync.tick();
    }
  }

  /** Guards against a take-back during an outage that the table never learns of. */
  @Test
  void factOfAnOutageIsRecordedLater() {
    run(2);
    platform.down = true;
    gossip.publish(RolloutGossip.factEntry(KEY, FACT));
    run(40);
    assertTrue(table.rows.isEmpty());
    platform.down = false;
    run(2);
    assertTrue(table.rows.containsKey(KEY));
  }

  /** Guards against a fact that missed the table without an outage that the poller noticed. */
  @Test
  void factThatTheTableLacksIsRecordedWithinTheFullInterval() {
    run(2);
    gossip.publish(RolloutGossip.factEntry(KEY, FACT));
    run(31);
    assertTrue(table.rows.containsKey(KEY));
  }

  /** Guards against a slow reaction to an operator: the change of the index is enough. */
  @Test
  void factOfAnOperatorReachesGossipWithinSeconds() {
    run(3);
    table.write(KEY, 0, FACT);
    table.write(TableKeys.TAKEN_BACK_INDEX, 0, new byte[0]);
    run(1);
    assertTrue(gossip.get(KEY).isPresent());
  }

  /** Guards against a take-back that gossip refuses because its reason is too long for a value. */
  @Test
  void factWithLongReasonStillSpreads() {
    run(3);
    byte[] longFact = ("{\"reason\": \"" + "x".repeat(5_000) + "\"}").getBytes();
    table.write(KEY, 0, longFact);
    table.write(TableKeys.TAKEN_BACK_INDEX, 0, new byte[0]);
    run(1);
    assertTrue(gossip.get(KEY).orElseThrow().value().length <= GOSSIP_VALUE_BYTES);
  }

  /** Guards against one malformed row that keeps all others from gossip. */
  @Test
  void malformedRowDoesNotStopTheOthers() {
    RolloutRow row =
        RolloutRow.started("b", "v1", "v2", 0, AnalyzerFixture.START, AnalyzerFixture.BY);
    table.write("rollout/a", 0, "{}".getBytes());
    table.write("rollout/b", 0, RolloutGossip.encode(row));
    table.write(KEY, 0, FACT);
    run(1);
    assertEquals(List.of("grant/b"), gossip.list("grant/").stream().map(e -> e.key()).toList());
    assertTrue(gossip.get(KEY).isPresent());
  }

  /** Guards the platform against reads by every node instead of one for each failure domain. */
  @Test
  void onlyThePollerReads() {
    poller = false;
    table.write(KEY, 0, FACT);
    run(40);
    assertTrue(gossip.list("").isEmpty());
  }
}
