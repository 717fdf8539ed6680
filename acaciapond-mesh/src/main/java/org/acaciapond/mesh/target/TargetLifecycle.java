package org.acaciapond.mesh.target;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Life of the target beside this node, from its check-ins. A check-in of an older lifetime or of a
 * lower sequence changes nothing, and no lifetime that announced its leaving becomes ready again,
 * even if this node started after the announcement and learns of it from others.
 */
public final class TargetLifecycle {

  private static final int FIRST_SEQUENCES = 2;
  private static final int MAX_LEFT = 1_000;

  private @Nullable CheckIn latest;
  private TargetPhase phase = TargetPhase.UNKNOWN;
  private long goneBornMs = Long.MIN_VALUE;
  private final Map<String, Long> leftAtMs = new HashMap<>();

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
    if (checkIn.bornMs() <= goneBornMs || hasLeft(checkIn)) {
      return false;
    }
    latest = checkIn;
    phase = checkIn.draining() ? TargetPhase.DRAINING : TargetPhase.READY;
    return true;
  }

  private boolean acceptNext(CheckIn held, CheckIn next) {
    latest = next;
    TargetPhase before = phase;
    if (next.draining() && phase == TargetPhase.READY) {
      phase = TargetPhase.DRAINING;
    }
    return phase != before
        || !next.version().equals(held.version())
        || next.slots() != held.slots()
        || (held.coldMs() > 0 && next.coldMs() == 0);
  }

  // A message of leaving does not say which lifetime of the id it means. A start after it is a new
  // lifetime; so is one whose check-ins count from the beginning, should the clocks differ.
  private boolean hasLeft(CheckIn checkIn) {
    Long atMs = leftAtMs.get(checkIn.id());
    return atMs != null && checkIn.bornMs() <= atMs && checkIn.sequence() > FIRST_SEQUENCES;
  }

  /**
   * Applies a deregistration; returns whether it ended the lifetime that is held.
   *
   * @param id id that leaves
   * @param bornMs start of that lifetime, or 0 when the message does not say
   * @param nowMs Unix time of the message
   */
  public boolean deregister(String id, long bornMs, long nowMs) {
    CheckIn held = latest;
    if (held == null || !held.id().equals(id) || (bornMs != 0 && bornMs != held.bornMs())) {
      // The lifetime is not held here: no later check-in of it may open the door.
      goneBornMs = Math.max(goneBornMs, bornMs);
      if (held == null && leftAtMs.size() < MAX_LEFT) {
        leftAtMs.put(id, nowMs);
      }
      return false;
    }
    boolean changed = phase != TargetPhase.GONE;
    phase = TargetPhase.GONE;
    goneBornMs = Math.max(goneBornMs, held.bornMs());
    return changed;
  }

  /** Applies what another node remembers of the target; returns whether the phase changed. */
  public boolean recall(String id, long bornMs, TargetPhase recalled) {
    if (recalled != TargetPhase.DRAINING && recalled != TargetPhase.GONE) {
      return false;
    }
    goneBornMs = Math.max(goneBornMs, bornMs);
    CheckIn held = latest;
    boolean same = held != null && held.id().equals(id) && held.bornMs() == bornMs;
    if (same && phase == TargetPhase.READY) {
      phase = recalled;
      return true;
    }
    return false;
  }

  /** Returns the phase. */
  public TargetPhase phase() {
    return phase;
  }

  /** Returns the latest check-in, or null before the first one. */
  public @Nullable CheckIn latest() {
    return latest;
  }
}
