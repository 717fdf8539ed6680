package org.acaciapond.node.proxy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.acaciapond.common.time.ManualTimeSource;
import org.acaciapond.node.membership.LocalTarget;
import org.junit.jupiter.api.Test;

/** Guards against a good version that is judged by the slow calls of its start. */
class TargetWarmupTest {

  private static final LocalTarget.Announcement FIRST =
      new LocalTarget.Announcement("v1", 1, 1, false);

  private final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
  private final TargetWarmup warmth = new TargetWarmup(time);

  @Test
  void targetIsColdUntilItServedManyCalls() {
    for (int i = 1; i < 300; i++) {
      assertFalse(warmth.countCall(FIRST), "call " + i);
    }
    assertTrue(warmth.countCall(FIRST));
  }

  @Test
  void targetWithFewCallsIsWarmAfterItsTime() {
    assertFalse(warmth.countCall(FIRST));
    time.advance(Duration.ofSeconds(15));
    assertTrue(warmth.countCall(FIRST));
  }

  @Test
  void anotherProcessOfTheTargetIsColdAgain() {
    warmth.countCall(FIRST);
    time.advance(Duration.ofSeconds(15));
    assertFalse(warmth.countCall(new LocalTarget.Announcement("v1", 2, 1, false)));
  }

  @Test
  void changeOfTheWeightAloneDoesNotMakeItCold() {
    warmth.countCall(FIRST);
    time.advance(Duration.ofSeconds(15));
    assertTrue(warmth.countCall(new LocalTarget.Announcement("v1", 1, 7, false)));
  }
}
