package org.acaciapond.mesh.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class AttemptLatenciesTest {

  private final AttemptLatencies times = new AttemptLatencies();

  @Test
  void unknownRouteIsNotTriedTwice() {
    assertEquals(-1, times.secondTryAfterMs("r", 200, 500));
  }

  @Test
  void secondTryStillFitsBeforeTheAnswerLosesWorth() {
    for (int i = 0; i < 100; i++) {
      times.add("r", 60, 50_000);
    }
    int afterMs = times.secondTryAfterMs("r", 200, 500);
    assertTrue(afterMs >= 120 && afterMs + 60 <= 200, "after " + afterMs);
  }

  @Test
  void secondTryThatCannotEndBeforeTheDeadlineIsNotMade() {
    for (int i = 0; i < 100; i++) {
      times.add("r", 60, 50_000);
    }
    assertEquals(-1, times.secondTryAfterMs("r", 20, 150));
  }
}
