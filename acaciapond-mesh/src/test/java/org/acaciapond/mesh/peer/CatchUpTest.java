package org.acaciapond.mesh.peer;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class CatchUpTest {

  private static final long MS = 1_000_000L;

  private final CatchUp catchUp = new CatchUp();

  /** Guards against the whole state asked of every peer at a start. */
  @Test
  void onePeerIsAskedAtOneTime() {
    assertTrue(catchUp.ask(-1, 5, 0));
    assertFalse(catchUp.ask(-1, 5, 20 * MS));
    assertFalse(catchUp.ask(-1, 6, 200 * MS));
  }

  /** Guards against a node that stays behind because the peer that it asked went away. */
  @Test
  void anotherPeerIsAskedWhenNoAnswerComes() {
    assertTrue(catchUp.ask(-1, 5, 0));
    assertTrue(catchUp.ask(-1, 5, 301 * MS));
  }

  @Test
  void nextChangeIsAskedForAtOnceAfterAnAnswer() {
    assertTrue(catchUp.ask(-1, 5, 0));
    catchUp.answered();
    assertFalse(catchUp.ask(5, 5, 10 * MS));
    assertTrue(catchUp.ask(5, 6, 20 * MS));
  }
}
