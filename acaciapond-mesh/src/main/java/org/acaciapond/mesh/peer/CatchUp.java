package org.acaciapond.mesh.peer;

/**
 * Decides when a peer that holds newer rows is asked for them: one peer at a time, as each sends
 * all rows and at a start every peer holds newer ones.
 */
public final class CatchUp {

  // The answer takes a round trip and the time of a busy node; then another peer is asked.
  private static final long ANSWER_NANOS = 300_000_000L;

  private long askedNanos;
  private boolean asked;

  /** Returns whether to ask a peer now; if so, further peers are not asked for a while. */
  public boolean ask(long heldVersion, long peerVersion, long nowNanos) {
    if (peerVersion <= heldVersion || (asked && nowNanos - askedNanos < ANSWER_NANOS)) {
      return false;
    }
    asked = true;
    askedNanos = nowNanos;
    return true;
  }

  /** Notes that rows have arrived. */
  public void answered() {
    asked = false;
  }
}
