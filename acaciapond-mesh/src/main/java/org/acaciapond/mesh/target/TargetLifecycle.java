package org.acaciapond.mesh.target;

import org.jspecify.annotations.Nullable;

/**
 * Life of the target beside this node, from its check-ins. A check-in of an older lifetime or of a
 * lower sequence changes nothing, and no lifetime that announced its leaving becomes ready again.
 */
public final class TargetLifecycle {

  private @Nullable CheckIn latest;
  private Phase phase = Phase.UNKNOWN;
  private long goneBornMs = Long.MIN_VALUE;

  /** Applies a check-in; returns whether the phase, the lifetime or the description changed. */
  public boolean accept(CheckIn checkIn) {
    CheckIn held = latest;
    if (held != null) {
      if (checkIn.bornMs() < held.bornMs()) {
        return false;
      }
      boolean sameLife = checkIn.bornMs() == held.bornMs() && checkIn.id().equals(held.id());
      if (sameLife && checkIn.sequence() <= held.sequence()) {
        return false;
      }
      if (!sameLife && checkIn.bornMs() == held.bornMs()) {
        return false;
      }
      if (sameLife) {
        return acceptNext(held, checkIn);
      }
    }
    if (checkIn.bornMs() <= goneBornMs) {
      return false;
    }
    latest = checkIn;
    phase = checkIn.draining() ? Phase.DRAINING : Phase.READY;
    return true;
  }

  private boolean acceptNext(CheckIn held, CheckIn next) {
    latest = next;
    Phase before = phase;
    if (next.draining() && phase == Phase.READY) {
      phase = Phase.DRAINING;
    }
    return phase != before
        || !next.version().equals(held.version())
        || next.slots() != held.slots()
        || (held.coldMs() > 0 && next.coldMs() == 0);
  }

  /**
   * Applies a deregistration; returns whether it ended the lifetime that is held.
   *
   * @param id id that leaves
   * @param bornMs start of that lifetime, or 0 when the message does not say
   */
  public boolean deregister(String id, long bornMs) {
    CheckIn held = latest;
    if (held == null) {
      // The lifetime was never seen here: no later check-in of it may open the door.
      goneBornMs = Math.max(goneBornMs, bornMs);
      return false;
    }
    if (!held.id().equals(id) || (bornMs != 0 && bornMs != held.bornMs())) {
      goneBornMs = Math.max(goneBornMs, bornMs);
      return false;
    }
    boolean changed = phase != Phase.GONE;
    phase = Phase.GONE;
    goneBornMs = Math.max(goneBornMs, held.bornMs());
    return changed;
  }

  /** Returns the phase. */
  public Phase phase() {
    return phase;
  }

  /** Returns the latest check-in, or null before the first one. */
  public @Nullable CheckIn latest() {
    return latest;
  }
}
