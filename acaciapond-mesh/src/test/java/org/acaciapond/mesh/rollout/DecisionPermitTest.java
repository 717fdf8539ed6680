package org.acaciapond.mesh.rollout;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class DecisionPermitTest {

  private final DecisionPermit permit = new DecisionPermit();
  private long nowMs = 1_000_000;
  private long wallMs = 5_000_000;

  private boolean checkAfter(int ms, int connected, int known) {
    nowMs += ms;
    wallMs += ms;
    return permit.check(nowMs * 1_000_000, wallMs, connected, known);
  }

  @Test
  void nodeThatIsConnectedToMostNodesDecides() {
    assertTrue(checkAfter(0, 12, 12));
    assertTrue(checkAfter(200, 8, 12));
  }

  /** Guards against a decision by a failure domain that is cut off. */
  @Test
  void nodeOfMinorityDoesNotDecide() {
    assertFalse(checkAfter(0, 4, 12));
    assertTrue(checkAfter(200, 12, 12));
  }

  /** Guards against a node that wakes up and acts before it knows what others decided meanwhile. */
  @Test
  void pausedNodeWaits() {
    assertTrue(checkAfter(0, 12, 12));
    assertFalse(checkAfter(5_000, 12, 12));
    assertFalse(checkAfter(600, 12, 12));
    assertTrue(checkAfter(600, 12, 12));
  }

  /** Guards against a suspended host, whose monotonic clock stood still. */
  @Test
  void suspendedNodeWaits() {
    assertTrue(checkAfter(0, 12, 12));
    wallMs += 5_000;
    assertFalse(checkAfter(200, 12, 12));
  }

  @Test
  void timeBetweenRolloutsIsNoPause() {
    assertTrue(checkAfter(0, 12, 12));
    permit.restart();
    assertTrue(checkAfter(60_000, 12, 12));
  }
}
