package org.acaciapond.mesh.peer;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class StateRequestLimiterTest {

  private static final long MS = 1_000_000L;

  private final StateRequestLimiter limiter = new StateRequestLimiter();

  /** Guards against a starting node that requests the whole state from every peer. */
  @Test
  void onlyOnePeerIsAskedAtTheSameTime() {
    assertTrue(limiter.tryRequest(-1, 5, 0));
    assertFalse(limiter.tryRequest(-1, 5, 20 * MS));
    assertFalse(limiter.tryRequest(-1, 6, 200 * MS));
  }

  /** Guards against a node that keeps old rows because the peer that it asked has gone. */
  @Test
  void anotherPeerIsAskedAfterTheTimeout() {
    assertTrue(limiter.tryRequest(-1, 5, 0));
    assertTrue(limiter.tryRequest(-1, 5, 301 * MS));
  }

  @Test
  void nextChangeIsRequestedImmediatelyAfterResponse() {
    assertTrue(limiter.tryRequest(-1, 5, 0));
    limiter.responseReceived();
    assertFalse(limiter.tryRequest(5, 5, 10 * MS));
    assertTrue(limiter.tryRequest(5, 6, 20 * MS));
  }
}
