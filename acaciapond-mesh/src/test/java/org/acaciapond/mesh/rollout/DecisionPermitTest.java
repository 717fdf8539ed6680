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
    return permit.check(true, nowMs * 1_000_000, wallMs, connected, known);
  }

  private boolean becomeAnalyzer(int nodes) {
    checkAfter(0, nodes, nodes);
    return checkAfter(600, nodes, nodes);
  }

  @Test
  void nodeThatIsConnectedToMostNodesDecides() {
    assertTrue(becomeAnalyzer(12));
    assertTrue(checkAfter(200, 8, 12));
  }

  /** Guards against a decision by a failure domain that is cut off. */
  @Test
  void nodeOfMinorityDoesNotDecide() {
    assertTrue(becomeAnalyzer(12));
    assertFalse(checkAfter(200, 4, 12));
    assertTrue(checkAfter(200, 12, 12));
  }

  /** Guards against a node that wakes up and acts before it knows what others decided meanwhile. */
  @Test
  void pausedNodeWaits() {
    assertTrue(becomeAnalyzer(12));
    assertFalse(checkAfter(5_000, 12, 12));
    assertFalse(checkAfter(600, 12, 12));
    assertTrue(checkAfter(600, 12, 12));
  }

  /** Guards against a suspended host, whose monotonic clock stood still. */
  @Test
  void suspendedNodeWaits() {
    assertTrue(becomeAnalyzer(12));
    wallMs += 5_000;
    assertFalse(checkAfter(200, 12, 12));
  }

  /** Guards against a version that a new analyzer takes back because it has no evidence yet. */
  @Test
  void newAnalyzerWaitsForTheEvidence() {
    assertFalse(checkAfter(0, 12, 12));
    assertFalse(checkAfter(400, 12, 12));
    assertTrue(checkAfter(200, 12, 12));
    nowMs += 200;
    assertFalse(permit.check(false, nowMs * 1_000_000, wallMs + 200, 12, 12));
    wallMs += 200;
    assertFalse(checkAfter(200, 12, 12));
  }

  @Test
  void timeBetweenRolloutsIsNoPause() {
    assertTrue(becomeAnalyzer(12));
    permit.restart();
    checkAfter(60_000, 12, 12);
    assertTrue(checkAfter(600, 12, 12));
  }
}
