package org.acaciapond.mesh.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class NestedCallLimitTest {

  private static final long MS = 1_000_000L;
  private static final int SLOTS = 9;

  private final NestedCallLimit limit = new NestedCallLimit();
  private long nowNanos = 1_000 * MS;

  private void record(int calls, double congestedShare) {
    for (int i = 1; i <= calls; i++) {
      nowNanos += 20 * MS;
      boolean congested = Math.floor(i * congestedShare) > Math.floor((i - 1) * congestedShare);
      limit.record(congested, SLOTS, nowNanos);
    }
  }

  @Test
  void routeWithoutNestedCallsIsNotLimited() {
    assertEquals(Integer.MAX_VALUE, limit.limit(nowNanos));
  }

  @Test
  void limitFallsWhileNestedCallsWait() {
    record(100, 0.6);
    assertTrue(limit.limit(nowNanos) <= 2, "limit " + limit.limit(nowNanos));
  }

  @Test
  void fewDelayedNestedCallsDoNotLimit() {
    record(200, 0.05);
    assertEquals(SLOTS, limit.limit(nowNanos));
  }

  @Test
  void limitRisesAfterTheCongestion() {
    record(200, 1);
    assertEquals(1, limit.limit(nowNanos));
    record(150, 0);
    assertEquals(SLOTS, limit.limit(nowNanos));
  }

  /** Guards against a limit that stays because nothing runs that could lift it. */
  @Test
  void limitIsLiftedWithoutNestedCalls() {
    record(200, 1);
    assertEquals(Integer.MAX_VALUE, limit.limit(nowNanos + 1_001 * MS));
  }
}
