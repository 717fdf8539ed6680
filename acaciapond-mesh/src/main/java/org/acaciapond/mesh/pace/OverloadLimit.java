package org.acaciapond.mesh.pace;

/**
 * Limit on concurrent calls of a target that refuses calls or answers slowly. It falls only if the
 * number of calls is the likely cause:
 *
 * <ul>
 *   <li>calls that were refused had been sent while more calls ran than those that were answered;
 *   <li>or calls are slow at a higher number than when they were not slow, while all calls that the
 *       target may get are running. Then a lower limit is tested, and kept if the target does as
 *       much work with it as before.
 * </ul>
 *
 * <p>After a test that failed, the limit does not fall for some time. Otherwise it rises by one
 * step at a time once the trouble is over (additive increase).
 */
final class OverloadLimit {

  private static final double DECREASE_FACTOR = 0.75;
  private static final double MIN_DECREASE_FACTOR = 0.5;
  private static final int MAX_RAISE_WAIT_WINDOWS = 3;
  private static final long FIRST_HOLD_OFF_NANOS = 10_000_000_000L;
  private static final long MAX_HOLD_OFF_NANOS = 60_000_000_000L;
  // The number of calls that were not slow loses weight with each window, as targets change.
  private static final double CALM_DECAY = 0.99;
  private static final double CALM_TOLERANCE = 1.1;

  private int slots;
  private int limit;
  private int formerLimit;
  private double formerWorkRate;
  private boolean testing;
  // Whether calls of the former limit still run in the current window.
  private boolean settling;
  private boolean raised;
  private int windowsUntilRaise;
  private int raiseWaitWindows;
  private double calmRunning;
  private long holdOffNanos = FIRST_HOLD_OFF_NANOS;
  private long heldOffUntilNanos;

  /** Starts anew with a limit, which may be all slots. */
  void reset(int slotCount, int firstLimit, long nowNanos) {
    slots = slotCount;
    limit = firstLimit;
    testing = false;
    settling = false;
    raised = false;
    windowsUntilRaise = 0;
    raiseWaitWindows = 0;
    calmRunning = 0;
    holdOffNanos = FIRST_HOLD_OFF_NANOS;
    heldOffUntilNanos = nowNanos;
  }

  int limit() {
    return limit;
  }

  boolean isLowered() {
    return limit < slots;
  }

  /** Applies what was seen in a window during which the limit did not change. */
  void apply(LoadWindow window, long nowNanos) {
    if (settling) {
      settling = false;
      return;
    }
    boolean evidence = window.isEvidence(limit);
    if (testing) {
      testing = false;
      if (!evidence || window.workRate(nowNanos) < acceptedWorkRate()) {
        revert(nowNanos);
        return;
      }
      holdOffNanos = FIRST_HOLD_OFF_NANOS;
    }
    boolean suspect = evidence && isSuspect(window, nowNanos);
    recordCalm(window, nowNanos);
    if (limit > 1 && evidence && window.hasRefusalsAtHighLoad()) {
      lowerBelow(window.meanRefusedRunning());
    } else if (limit > 1 && suspect && nowNanos - heldOffUntilNanos >= 0) {
      startTest(window.workRate(nowNanos));
    } else {
      raise();
    }
  }

  private boolean isSuspect(LoadWindow window, long nowNanos) {
    return window.isSlow()
        && window.isSaturated(limit, nowNanos)
        && window.meanRunning(nowNanos) > CALM_TOLERANCE * calmRunning;
  }

  private void recordCalm(LoadWindow window, long nowNanos) {
    calmRunning *= CALM_DECAY;
    if (window.isCalm()) {
      calmRunning = Math.max(calmRunning, window.meanRunning(nowNanos));
    }
  }

  // Without any effect of the number of calls, the work would fall in proportion to the limit.
  private double acceptedWorkRate() {
    return formerWorkRate * (1 + (double) limit / formerLimit) / 2;
  }

  private void startTest(double workRate) {
    formerLimit = limit;
    formerWorkRate = workRate;
    lowerTo((int) (limit * DECREASE_FACTOR));
    testing = true;
    settling = true;
  }

  private void lowerBelow(double refusedRunning) {
    int least = (int) Math.ceil(limit * MIN_DECREASE_FACTOR);
    lowerTo(Math.max(least, (int) Math.ceil(refusedRunning) - 1));
  }

  // Each increase that brings the trouble back doubles the time until the next one.
  private void lowerTo(int lowered) {
    raiseWaitWindows = raised ? Math.min(MAX_RAISE_WAIT_WINDOWS, 2 * raiseWaitWindows + 1) : 0;
    windowsUntilRaise = raiseWaitWindows;
    limit = Math.max(1, Math.min(limit - 1, raised ? limit - 1 : lowered));
    raised = false;
  }

  private void raise() {
    if (!isLowered()) {
      raised = false;
      raiseWaitWindows = 0;
    } else if (windowsUntilRaise > 0) {
      windowsUntilRaise--;
    } else {
      limit++;
      raised = true;
    }
  }

  private void revert(long nowNanos) {
    limit = formerLimit;
    heldOffUntilNanos = nowNanos + holdOffNanos;
    holdOffNanos = Math.min(MAX_HOLD_OFF_NANOS, 2 * holdOffNanos);
  }
}
