package org.acaciapond.mesh.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.acaciapond.mesh.peer.LivenessCheck.Decision;
import org.junit.jupiter.api.Test;

class LivenessCheckTest {

  private static final long MS = 1_000_000L;

  private final LivenessCheck check = new LivenessCheck(true, () -> 1);

  /** Guards against signs of life whose number grows with the square of the mesh. */
  @Test
  void idleConnectionIsAskedSeldom() {
    assertEquals(Decision.ALIVE, check.decide(0, false, true, 2_400 * MS));
    assertEquals(Decision.ASK, check.decide(0, false, true, 2_600 * MS));
    assertEquals(Decision.ALIVE, check.decide(0, false, true, 2_850 * MS));
  }

  /** Guards against bytes between domains that no call asks for. */
  @Test
  void idleConnectionToAnotherDomainIsAskedMoreSeldom() {
    LivenessCheck other = new LivenessCheck(false, () -> 1);
    assertEquals(Decision.ALIVE, other.decide(0, false, true, 5_900 * MS));
    assertEquals(Decision.ASK, other.decide(0, true, true, 5_900 * MS));
  }

  /** Guards against calls that wait on a silent connection until their deadline. */
  @Test
  void silentConnectionOnWhichCallsWaitIsLostSoon() {
    assertEquals(Decision.ASK, check.decide(0, true, true, 600 * MS));
    assertEquals(Decision.ALIVE, check.decide(0, true, true, 1_500 * MS));
    assertEquals(Decision.LOST, check.decide(0, true, true, 1_700 * MS));
  }

  @Test
  void connectionThatAnsweredIsAlive() {
    assertEquals(Decision.ASK, check.decide(0, true, true, 600 * MS));
    assertEquals(Decision.ALIVE, check.decide(610 * MS, true, true, 700 * MS));
    assertEquals(Decision.ALIVE, check.decide(610 * MS, true, true, 1_050 * MS));
  }

  /** Guards against a node that stood still and then drops connections whose answers it holds. */
  @Test
  void nodeThatStoodStillReadsBeforeItDecides() {
    assertEquals(Decision.ASK, check.decide(0, true, true, 600 * MS));
    assertEquals(Decision.ALIVE, check.decide(0, true, false, 9_000 * MS));
    assertEquals(Decision.ALIVE, check.decide(9_100 * MS, true, true, 9_250 * MS));
  }

  /** Guards against calls that are sent to a cut domain until its connections count as lost. */
  @Test
  void silenceWhileCallsWaitIsSuspicious() {
    assertTrue(LivenessCheck.suspicious(0, 0, true, 700 * MS));
    assertFalse(LivenessCheck.suspicious(200 * MS, 0, true, 700 * MS));
    // The connection was idle before.
    assertFalse(LivenessCheck.suspicious(0, 300 * MS, true, 700 * MS));
    assertFalse(LivenessCheck.suspicious(0, 0, false, 5_000 * MS));
  }
}
