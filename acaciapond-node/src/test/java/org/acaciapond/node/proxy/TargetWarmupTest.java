package org.acaciapond.node.proxy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.acaciapond.common.time.ManualTimeSource;
import org.acaciapond.node.membership.LocalTarget;
import org.junit.jupiter.api.Test;

/** Guards against a good version that is rejected for the slow calls after its start. */
class TargetWarmupTest {

  private static final LocalTarget.Announcement FIRST =
      new LocalTarget.Announcement("v1", 1, 1, false);

  private final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
  private final TargetWarmup warmup = new TargetWarmup(time);

  @Test
  void targetIsColdUntilItServedEnoughCalls() {
    for (int i = 1; i < 300; i++) {
      assertFalse(warmup.recordCall(FIRST), "call " + i);
    }
    assertTrue(warmup.recordCall(FIRST));
  }

  @Test
  void targetWithFewCallsIsWarmAfterTheWarmupTime() {
    assertFalse(warmup.recordCall(FIRST));
    time.advance(Duration.ofSeconds(15));
    assertTrue(warmup.recordCall(FIRST));
  }

  @Test
  void newTargetProcessIsCold() {
    warmup.recordCall(FIRST);
    time.advance(Duration.ofSeconds(15));
    assertFalse(warmup.recordCall(new LocalTarget.Announcement("v1", 2, 1, false)));
  }

  @Test
  void weightChangeDoesNotResetWarmup() {
    warmup.recordCall(FIRST);
    time.advance(Duration.ofSeconds(15));
    assertTrue(warmup.recordCall(new LocalTarget.Announcement("v1", 1, 7, false)));
  }
}
