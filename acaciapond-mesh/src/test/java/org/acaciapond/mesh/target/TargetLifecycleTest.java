package org.acaciapond.mesh.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TargetLifecycleTest {

  private final TargetLifecycle lifecycle = new TargetLifecycle();

  private static CheckIn checkIn(String id, long startedMs, long sequence, boolean draining) {
    return new CheckIn(id, startedMs, sequence, "s", "v1", 9, draining, 0);
  }

  @Test
  void phaseIsUnknownBeforeTheFirstCheckIn() {
    assertEquals(TargetPhase.UNKNOWN, lifecycle.phase());
  }

  @Test
  void lateCheckInDoesNotMakeDrainingTargetReady() {
    lifecycle.accept(checkIn("a", 100, 1, false));
    lifecycle.accept(checkIn("a", 100, 5, true));
    assertFalse(lifecycle.accept(checkIn("a", 100, 4, false)));
    lifecycle.accept(checkIn("a", 100, 6, false));
    assertEquals(TargetPhase.DRAINING, lifecycle.phase());
  }

  @Test
  void checkInOfOlderLifetimeDoesNotReplaceNewOne() {
    lifecycle.accept(checkIn("a", 100, 9, false));
    assertTrue(lifecycle.accept(checkIn("b", 200, 1, false)));
    assertFalse(lifecycle.accept(checkIn("a", 100, 10, true)));
    assertEquals("b", lifecycle.latest().id());
    assertEquals(TargetPhase.READY, lifecycle.phase());
  }

  @Test
  void sameIdWithNewStartTimeIsNewLifetime() {
    lifecycle.accept(checkIn("a", 100, 50, false));
    lifecycle.deregister("a", 100, 5_000);
    assertEquals(TargetPhase.GONE, lifecycle.phase());
    assertFalse(lifecycle.accept(checkIn("a", 100, 51, false)));
    assertTrue(lifecycle.accept(checkIn("a", 300, 1, false)));
    assertEquals(TargetPhase.READY, lifecycle.phase());
  }

  @ParameterizedTest(name = "cold for {0} ms, then {1} ms")
  @CsvSource({"0, 3000, true", "500, 3000, true", "3000, 2000, false", "500, 0, true"})
  void targetThatBecomesColdOrWarmChangesItsStatus(int coldMs, int nextColdMs, boolean changed) {
    lifecycle.accept(new CheckIn("a", 100, 1, "s", "v1", 9, false, coldMs));
    assertEquals(
        changed, lifecycle.accept(new CheckIn("a", 100, 2, "s", "v1", 9, false, nextColdMs)));
  }

  @Test
  void deregistrationOfOlderLifetimeDoesNotEndNewOne() {
    lifecycle.accept(checkIn("a", 300, 1, false));
    assertFalse(lifecycle.deregister("a", 100, 5_000));
    assertEquals(TargetPhase.READY, lifecycle.phase());
  }

  @Test
  void checkInAfterDeregistrationIsIgnored() {
    lifecycle.deregister("a", 100, 5_000);
    assertFalse(lifecycle.accept(checkIn("a", 100, 7, false)));
    assertEquals(TargetPhase.UNKNOWN, lifecycle.phase());
  }

  @Test
  void checkInAfterDeregistrationWithoutStartTimeIsIgnored() {
    lifecycle.deregister("a", 0, 5_000);
    assertFalse(lifecycle.accept(checkIn("a", 100, 30, false)));
    assertEquals(TargetPhase.UNKNOWN, lifecycle.phase());
    assertTrue(lifecycle.accept(checkIn("a", 6_000, 4, false)));
  }

  @Test
  void phaseKnownToOtherNodesAppliesAfterRestart() {
    assertTrue(lifecycle.accept(checkIn("a", 100, 30, false)));
    assertTrue(lifecycle.restorePhase("a", 100, TargetPhase.GONE));
    assertEquals(TargetPhase.GONE, lifecycle.phase());
    TargetLifecycle later = new TargetLifecycle();
    later.restorePhase("a", 100, TargetPhase.DRAINING);
    assertFalse(later.accept(checkIn("a", 100, 31, false)));
    assertTrue(later.accept(checkIn("b", 200, 1, false)));
  }

  /** Guards against late check-ins of a lifetime whose departure is only known from the store. */
  @Test
  void storedDepartureExcludesItsLifetime() {
    lifecycle.restoreDeparture(new TargetDeparture("a", 100, 5_000));
    assertFalse(lifecycle.accept(checkIn("a", 100, 31, false)));
    assertTrue(lifecycle.accept(checkIn("a", 200, 1, false)));
    assertEquals(TargetPhase.READY, lifecycle.phase());
  }

  @Test
  void storedDepartureEndsLifetimeThatWasAcceptedBefore() {
    lifecycle.accept(checkIn("a", 100, 31, false));
    assertTrue(lifecycle.restoreDeparture(new TargetDeparture("a", 100, 5_000)));
    assertEquals(TargetPhase.DRAINING, lifecycle.phase());
  }

  /** Guards against a lifetime before the departed one, whose check-in is even later. */
  @Test
  void storedDepartureEndsOlderLifetimes() {
    lifecycle.accept(checkIn("a", 50, 9, false));
    assertTrue(lifecycle.restoreDeparture(new TargetDeparture("b", 100, 5_000)));
    assertEquals(TargetPhase.DRAINING, lifecycle.phase());
  }

  @Test
  void storedDepartureDoesNotEndNewerLifetime() {
    lifecycle.accept(checkIn("a", 200, 1, false));
    assertFalse(lifecycle.restoreDeparture(new TargetDeparture("a", 100, 5_000)));
    assertEquals(TargetPhase.READY, lifecycle.phase());
  }

  @Test
  void storedDepartureWithoutStartTimeExcludesEarlierStartsOfItsId() {
    lifecycle.accept(checkIn("a", 100, 31, false));
    assertTrue(lifecycle.restoreDeparture(new TargetDeparture("a", 0, 5_000)));
    assertEquals(TargetPhase.GONE, lifecycle.phase());
    assertFalse(lifecycle.accept(checkIn("a", 100, 32, false)));
    assertTrue(lifecycle.accept(checkIn("a", 6_000, 1, false)));
  }

  /**
   * Guards against a confirmed departure that is forgotten as another lifetime is the current one.
   */
  @Test
  void deregistrationWithoutStartTimeExcludesLifetimeThatIsNotCurrent() {
    lifecycle.accept(checkIn("a", 100, 9, false));
    lifecycle.deregister("b", 0, 5_000);
    assertFalse(lifecycle.accept(checkIn("b", 200, 7, false)));
    assertEquals("a", lifecycle.latest().id());
  }

  /** Guards against a restarted target that gets no calls, as its id was deregistered before. */
  @Test
  void lateDeregistrationWithStartTimeDoesNotExcludeLaterLifetimeOfTheId() {
    lifecycle.deregister("a", 100, 5_000);
    assertTrue(lifecycle.accept(checkIn("a", 4_000, 7, false)));
  }
}
