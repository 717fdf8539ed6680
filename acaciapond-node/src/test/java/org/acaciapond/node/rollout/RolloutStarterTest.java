package org.acaciapond.node.rollout;

import static org.acaciapond.node.rollout.AnalyzerFixture.BY;
import static org.acaciapond.node.rollout.AnalyzerFixture.SERVICE;
import static org.acaciapond.node.rollout.AnalyzerFixture.START;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.Optional;
import org.acaciapond.config.model.RolloutConfig;
import org.acaciapond.config.model.ServiceConfig;
import org.acaciapond.rollout.schedule.RolloutScheduler;
import org.acaciapond.rollout.schedule.ScheduleSettings;
import org.acaciapond.rollout.state.RolloutRow;
import org.acaciapond.rollout.state.RolloutState;
import org.junit.jupiter.api.Test;

/** Guards the answers to moves that cannot start as the text asks. */
class RolloutStarterTest {

  private static final RolloutStarter.Counts ENOUGH = new RolloutStarter.Counts(4, 4);

  static RolloutStarter starter() {
    return new RolloutStarter(new RolloutScheduler(ScheduleSettings.DEFAULTS));
  }

  static ServiceConfig moveTo(String version, Instant by) {
    return AnalyzerFixture.config("v1", new RolloutConfig(version, by));
  }

  private static Optional<RolloutRow> first(
      ServiceConfig config, RolloutRow before, boolean takenBack, RolloutStarter.Counts counts) {
    return starter().firstRow(config, Optional.ofNullable(before), takenBack, counts, 1, START);
  }

  private static RolloutRow moving(double share) {
    return RolloutRow.started(SERVICE, "v1", "v2", 0, START.minusSeconds(90), START)
        .granted(RolloutState.MOVING, share, 1, "", 1, START.minusSeconds(50));
  }

  /** Guards against a set time that no safe pace can meet being tried all the same. */
  @Test
  void impossibleSetTimeIsLateAtOnce() {
    RolloutRow row = first(moveTo("v2", START.plusSeconds(3)), null, false, ENOUGH).orElseThrow();
    assertEquals(RolloutState.LATE, row.state());
    assertTrue(row.reason().startsWith("the set time leaves less than"), row.reason());
    assertEquals(0, row.share());
  }

  /** Guards against the cause being hidden when targets were missing until the set time. */
  @Test
  void lateForWantOfTargetsSaysSo() {
    RolloutStarter.Counts few = new RolloutStarter.Counts(4, 1);
    RolloutRow waiting = first(moveTo("v2", BY), null, false, few).orElseThrow();
    assertEquals("waiting for targets: 1 new beside 4", waiting.reason());
    assertTrue(first(moveTo("v2", BY), waiting, false, few).isEmpty(), "written twice");
    RolloutRow late =
        starter().firstRow(moveTo("v2", BY), Optional.of(waiting), false, few, 1, BY).orElseThrow();
    assertEquals(RolloutState.LATE, late.state());
    assertTrue(late.reason().endsWith("1 new beside 4"), late.reason());
  }

  /** Guards against a second move that tears the traffic from the first. */
  @Test
  void moveDuringAnotherWaitsAndSaysWhy() {
    ServiceConfig other = moveTo("v3", BY);
    Optional<RolloutRow> present = Optional.of(moving(0.1));
    assertFalse(starter().isWanted(other, present));
    assertTrue(first(other, moving(0.1), false, ENOUGH).isEmpty());
    assertEquals(
        Optional.of("waiting for the end of the move from v1 to v2"),
        RolloutStarter.obstacle(other, present));
    assertTrue(RolloutStarter.obstacle(moveTo("v2", BY), present).isEmpty());
  }

  /** Guards against a late move that starts anew, or is repeated with its old set time. */
  @Test
  void laterSetTimeContinuesLateMoveFromItsShare() {
    RolloutRow late = moving(0.25).in(RolloutState.LATE, "too few calls to judge", 1);
    assertTrue(first(moveTo("v2", late.by()), late, false, ENOUGH).isEmpty());
    RolloutRow row = first(moveTo("v2", BY), late, false, ENOUGH).orElseThrow();
    assertEquals(RolloutState.MOVING, row.state());
    assertEquals(late.grant(), row.grant());
    assertEquals(BY, row.by());
  }

  /** Guards against a version that was taken back being moved to again. */
  @Test
  void takenBackVersionIsRefused() {
    RolloutRow late = moving(0.25).in(RolloutState.LATE, "steps were delayed", 1);
    RolloutRow row = first(moveTo("v2", BY), late, true, ENOUGH).orElseThrow();
    assertEquals(RolloutState.TAKEN_BACK, row.state());
    assertEquals(0, row.share());
    assertTrue(row.reason().contains("use a new version name"), row.reason());
  }
}
