package org.acaciapond.mesh.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class AttemptLatenciesTest {

  private final AttemptLatencies latencies = new AttemptLatencies();

  @Test
  void unknownRouteIsNotHedged() {
    assertEquals(-1, latencies.hedgeDelayMs("r", 200, 500));
  }

  @Test
  void hedgedAttemptCanMeetTheObjective() {
    for (int i = 0; i < 100; i++) {
      latencies.record("r", 60, 50_000);
    }
    int delayMs = latencies.hedgeDelayMs("r", 200, 500);
    assertTrue(delayMs >= 120 && delayMs + 60 <= 200, "after " + delayMs);
  }

  @Test
  void attemptThatCannotEndBeforeTheDeadlineIsNotHedged() {
    for (int i = 0; i < 100; i++) {
      latencies.record("r", 60, 50_000);
    }
    assertEquals(-1, latencies.hedgeDelayMs("r", 20, 150));
  }
}
