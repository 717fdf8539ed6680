package org.acaciapond.mesh.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Load: 100 requests a second at one node, of which the targets admit a share. */
class RefusalThrottleTest {

  private static final long MS = 1_000_000L;

  private final Random random = new Random(7);
  private final RefusalThrottle throttle = new RefusalThrottle(random::nextDouble);
  private long nowMs;

  private int send(int requests, double admittedShare) {
    int sent = 0;
    for (int i = 0; i < requests; i++) {
      nowMs += 10;
      if (!throttle.allows(nowMs * MS)) {
        continue;
      }
      sent++;
      if (random.nextDouble() < admittedShare) {
        throttle.recordAdmitted(nowMs * MS);
      } else {
        throttle.recordRefused(80, nowMs * MS);
      }
    }
    return sent;
  }

  /** Guards against requests that are refused without need. */
  @Test
  void callsPassWhileMostAreAdmitted() {
    assertEquals(500, send(500, 0.7));
  }

  /** Guards against processor time that is spent on refusals by other nodes. */
  @Test
  void fewCallsAreSentToFullTargets() {
    send(200, 0.1);
    int sent = send(500, 0.1);
    assertTrue(sent < 250, "sent " + sent);
    assertTrue(throttle.waitMs() > 70);
  }

  /** Guards against refusals because requests failed for other reasons than a lack of room. */
  @Test
  void requestsWithoutOutcomeDoNotCount() {
    for (int i = 0; i < 100; i++) {
      assertTrue(throttle.allows(i * MS));
    }
  }

  /** Guards against refusals after the load has ended. */
  @Test
  void callsPassAgainWhenThereIsRoom() {
    send(500, 0);
    send(100, 1);
    assertEquals(100, send(100, 1));
  }
}
