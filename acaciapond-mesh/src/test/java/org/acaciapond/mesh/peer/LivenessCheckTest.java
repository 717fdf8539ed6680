package org.acaciapond.mesh.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.acaciapond.mesh.peer.LivenessCheck.Decision;
import org.junit.jupiter.api.Test;

class LivenessCheckTest {

  private static final long MS = 1_000_000L;

  private final LivenessCheck check = new LivenessCheck(true, () -> 1);

  /** Guards against frequent probes, whose number grows with the square of the mesh size. */
  @Test
  void idleConnectionIsProbedRarely() {
    assertEquals(Decision.ALIVE, check.decide(0, false, true, 2_400 * MS));
    assertEquals(Decision.PROBE, check.decide(0, false, true, 2_600 * MS));
    assertEquals(Decision.ALIVE, check.decide(0, false, true, 2_850 * MS));
  }

  /** Guards against traffic between failure domains that no call needs. */
  @Test
  void idleConnectionToOtherDomainIsProbedLessOften() {
    LivenessCheck otherDomain = new LivenessCheck(false, () -> 1);
    assertEquals(Decision.ALIVE, otherDomain.decide(0, false, true, 5_900 * MS));
    assertEquals(Decision.PROBE, otherDomain.decide(0, true, true, 5_900 * MS));
  }

  /** Guards against calls that stay on a silent connection until their deadline. */
  @Test
  void silentConnectionWithPendingCallsIsLostSoon() {
    assertEquals(Decision.PROBE, check.decide(0, true, true, 600 * MS));
    assertEquals(Decision.ALIVE, check.decide(0, true, true, 1_500 * MS));
    assertEquals(Decision.LOST, check.decide(0, true, true, 1_700 * MS));
  }

  @Test
  void connectionThatRespondedIsAlive() {
    assertEquals(Decision.PROBE, check.decide(0, true, true, 600 * MS));
    assertEquals(Decision.ALIVE, check.decide(610 * MS, true, true, 700 * MS));
    assertEquals(Decision.ALIVE, check.decide(610 * MS, true, true, 1_050 * MS));
  }

  /**
   * Guards against a node that was paused and then closes connections although the responses to its
   * probes have arrived.
   */
  @Test
  void pausedNodeReadsBeforeItDecides() {
    assertEquals(Decision.PROBE, check.decide(0, true, true, 600 * MS));
    assertEquals(Decision.ALIVE, check.decide(0, true, false, 9_000 * MS));
    assertEquals(Decision.ALIVE, check.decide(9_100 * MS, true, true, 9_250 * MS));
  }

  /** Guards against calls to an unreachable domain until its connections are treated as lost. */
  @Test
  void silenceWithPendingCallsIsSuspicious() {
    assertTrue(LivenessCheck.isSuspicious(0, 0, true, 700 * MS));
    assertFalse(LivenessCheck.isSuspicious(200 * MS, 0, true, 700 * MS));
    // The connection was idle before the calls.
    assertFalse(LivenessCheck.isSuspicious(0, 300 * MS, true, 700 * MS));
    assertFalse(LivenessCheck.isSuspicious(0, 0, false, 5_000 * MS));
  }
}
