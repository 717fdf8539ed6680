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

/** Tests the synchronization of rows and take-backs between the table and gossip. */
class TableSyncTest {

  private static final String KEY =
      RolloutGossip.takenBackKey(new TakenBackVersion(AnalyzerFixture.SERVICE, "v2"));
  private static final byte[] TAKEN_BACK = RolloutGossip.encodeTakenBack("judge", "now", "errors");

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

  /** Guards against a take-back during an outage that is never recorded. */
  @Test
  void takeBackDuringOutageIsRecordedLater() {
    run(2);
    platform.down = true;
    gossip.publish(RolloutGossip.takenBackEntry(KEY, TAKEN_BACK));
    run(40);
    assertTrue(table.rows.isEmpty());
    platform.down = false;
    run(2);
    assertTrue(table.rows.containsKey(KEY));
  }

  /** Guards against a take-back that was not recorded although the poller saw no outage. */
  @Test
  void missingTakeBackIsRecordedWithinFullSyncInterval() {
    run(2);
    gossip.publish(RolloutGossip.takenBackEntry(KEY, TAKEN_BACK));
    run(31);
    assertTrue(table.rows.containsKey(KEY));
  }

  /** Guards against a slow reaction to an operator; a change of the index row must suffice. */
  @Test
  void takeBackByOperatorReachesGossipWithinSeconds() {
    run(3);
    table.write(KEY, 0, TAKEN_BACK);
    table.write(TableKeys.TAKEN_BACK_INDEX, 0, new byte[0]);
    run(1);
    assertTrue(gossip.get(KEY).isPresent());
  }

  /** Guards against a take-back that gossip refuses because its reason is too long. */
  @Test
  void takeBackWithLongReasonSpreads() {
    run(3);
    byte[] longTakenBack = ("{\"reason\": \"" + "x".repeat(5_000) + "\"}").getBytes();
    table.write(KEY, 0, longTakenBack);
    table.write(TableKeys.TAKEN_BACK_INDEX, 0, new byte[0]);
    run(1);
    assertTrue(gossip.get(KEY).orElseThrow().value().length <= GOSSIP_VALUE_BYTES);
  }

  /** Guards against one malformed row that prevents the others from reaching gossip. */
  @Test
  void malformedRowDoesNotStopTheOthers() {
    RolloutRow row =
        RolloutRow.started("b", "v1", "v2", 0, AnalyzerFixture.START, AnalyzerFixture.BY);
    table.write("rollout/a", 0, "{}".getBytes());
    table.write("rollout/b", 0, RolloutGossip.encode(row));
    table.write(KEY, 0, TAKEN_BACK);
    run(1);
    assertEquals(List.of("grant/b"), gossip.list("grant/").stream().map(e -> e.key()).toList());
    assertTrue(gossip.get(KEY).isPresent());
  }

  /** Guards against reads by every node instead of one per failure domain. */
  @Test
  void onlyPollerReads() {
    poller = false;
    table.write(KEY, 0, TAKEN_BACK);
    run(40);
    assertTrue(gossip.list("").isEmpty());
  }
}
