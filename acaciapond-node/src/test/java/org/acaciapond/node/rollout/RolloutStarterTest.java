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

/** Tests the rows of rollouts that cannot start as configured. */
class RolloutStarterTest {

  private static final RolloutStarter.Counts SUFFICIENT = new RolloutStarter.Counts(4, 4);

  static RolloutStarter starter() {
    return new RolloutStarter(new RolloutScheduler(ScheduleSettings.DEFAULTS));
  }

  static ServiceConfig configWithRolloutTo(String version, Instant by) {
    return AnalyzerFixture.config("v1", new RolloutConfig(version, by));
  }

  private static Optional<RolloutRow> first(
      ServiceConfig config, RolloutRow before, boolean takenBack, RolloutStarter.Counts counts) {
    return starter().firstRow(config, Optional.ofNullable(before), takenBack, counts, 1, START);
  }

  private static RolloutRow runningRow(double share) {
    return RolloutRow.started(SERVICE, "v1", "v2", 0, START.minusSeconds(90), START)
        .withGrant(RolloutState.MOVING, share, 1, "", 1, START.minusSeconds(50));
  }

  /** Guards against starting a rollout that cannot meet its deadline. */
  @Test
  void impossibleDeadlineIsLateImmediately() {
    RolloutRow row =
        first(configWithRolloutTo("v2", START.plusSeconds(3)), null, false, SUFFICIENT)
            .orElseThrow();
    assertEquals(RolloutState.LATE, row.state());
    assertTrue(row.reason().startsWith("the set time leaves less than"), row.reason());
    assertEquals(0, row.share());
  }

  /** Guards against losing the reason if targets were missing until the deadline. */
  @Test
  void lateRowNamesMissingTargets() {
    RolloutStarter.Counts few = new RolloutStarter.Counts(4, 1);
    RolloutRow waiting = first(configWithRolloutTo("v2", BY), null, false, few).orElseThrow();
    assertEquals("waiting for targets: 1 new beside 4", waiting.reason());
    assertTrue(
        first(configWithRolloutTo("v2", BY), waiting, false, few).isEmpty(), "written twice");
    RolloutRow late =
        starter()
            .firstRow(configWithRolloutTo("v2", BY), Optional.of(waiting), false, few, 1, BY)
            .orElseThrow();
    assertEquals(RolloutState.LATE, late.state());
    assertTrue(late.reason().endsWith("1 new beside 4"), late.reason());
  }

  /** Guards against a second rollout that replaces a running one. */
  @Test
  void rolloutDuringAnotherWaitsWithReason() {
    ServiceConfig other = configWithRolloutTo("v3", BY);
    Optional<RolloutRow> present = Optional.of(runningRow(0.1));
    assertFalse(starter().isRequested(other, present));
    assertTrue(first(other, runningRow(0.1), false, SUFFICIENT).isEmpty());
    assertEquals(
        Optional.of("waiting for the end of the move from v1 to v2"),
        RolloutStarter.findWaitReason(other, present));
    assertTrue(RolloutStarter.findWaitReason(configWithRolloutTo("v2", BY), present).isEmpty());
  }

  /** Guards against a late rollout that starts at zero or is repeated with the same deadline. */
  @Test
  void laterDeadlineContinuesLateRolloutFromItsShare() {
    RolloutRow late = runningRow(0.25).withState(RolloutState.LATE, "too few calls to judge", 1);
    assertTrue(first(configWithRolloutTo("v2", late.by()), late, false, SUFFICIENT).isEmpty());
    RolloutRow row = first(configWithRolloutTo("v2", BY), late, false, SUFFICIENT).orElseThrow();
    assertEquals(RolloutState.MOVING, row.state());
    assertEquals(late.grant(), row.grant());
    assertEquals(BY, row.by());
  }

  /** Guards against a second rollout to a version that was taken back. */
  @Test
  void takenBackVersionIsRefused() {
    RolloutRow late = runningRow(0.25).withState(RolloutState.LATE, "steps were delayed", 1);
    RolloutRow row = first(configWithRolloutTo("v2", BY), late, true, SUFFICIENT).orElseThrow();
    assertEquals(RolloutState.TAKEN_BACK, row.state());
    assertEquals(0, row.share());
    assertTrue(row.reason().contains("use a new version name"), row.reason());
  }
}
