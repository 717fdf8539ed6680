package org.acaciapond.mesh.pace;

import java.util.function.DoubleSupplier;
import org.acaciapond.mesh.admission.StartPace;

/**
 * Pace of the calls to a cold target. Calls start at the rate that the target tolerates (a token
 * bucket that holds a tenth of a second's calls). A second count, taken when calls are sent, keeps
 * every sliding second within the bound even if starts are delayed on their way.
 */
final class ColdPace implements StartPace {

  private static final double BURST_SHARE = 0.1;
  private static final double NANOS_PER_S = 1e9;

  private final ColdBounds bounds;
  private final DoubleSupplier coldRequestsPerS;
  private final SendWindow window;
  private boolean cold;
  private long coldUntilNanos;
  private double tokens;
  private long refilledNanos;

  /**
   * Creates the pace of a target that is not cold.
   *
   * @param coldRequestsPerS rate that the service's cold targets tolerate, 0 if any, negative while
   *     it is not known
   */
  ColdPace(ColdBounds bounds, DoubleSupplier coldRequestsPerS, long nowNanos) {
    this.bounds = bounds;
    this.coldRequestsPerS = coldRequestsPerS;
    this.window = new SendWindow(nowNanos);
    this.refilledNanos = nowNanos;
  }

  /** Sets the remaining time during which the target is cold, 0 if it is not. */
  void setCold(int coldMs, long nowNanos) {
    if (coldMs > 0 && !isCold(nowNanos)) {
      tokens = 1;
      refilledNanos = nowNanos;
    }
    cold = coldMs > 0;
    coldUntilNanos = nowNanos + coldMs * 1_000_000L;
  }

  boolean isCold(long nowNanos) {
    return cold && nowNanos - coldUntilNanos < 0;
  }

  /** Returns the remaining time during which the target is cold. */
  int coldLeftMs(long nowNanos) {
    return isCold(nowNanos) ? (int) Math.ceil((coldUntilNanos - nowNanos) / 1e6) : 0;
  }

  /** Returns whether the rate of calls is limited now. */
  boolean isLimited(long nowNanos) {
    return isCold(nowNanos) && (isRateUnknown() ? bounds.areSet() : ratePerS() > 0);
  }

  private boolean isRateUnknown() {
    return coldRequestsPerS.getAsDouble() < 0;
  }

  private double maxRequests() {
    return isRateUnknown()
        ? bounds.maxRequestsAtUnknownRate()
        : bounds.maxRequests(coldRequestsPerS.getAsDouble());
  }

  private double burst() {
    return Math.max(1, ratePerS() * BURST_SHARE);
  }

  /** Returns the rate at which calls start, per second. */
  double ratePerS() {
    return isRateUnknown() ? bounds.maxRequestsAtUnknownRate() : coldRequestsPerS.getAsDouble();
  }

  private void refill(long nowNanos) {
    double elapsedS = (nowNanos - refilledNanos) / NANOS_PER_S;
    tokens = Math.min(burst(), tokens + elapsedS * ratePerS());
    refilledNanos = nowNanos;
  }

  @Override
  public boolean mayStart(long nowNanos) {
    if (!isLimited(nowNanos)) {
      return true;
    }
    refill(nowNanos);
    return tokens >= 1 && window.hasRoom(maxRequests(), nowNanos);
  }

  @Override
  public void started(long nowNanos) {
    if (isLimited(nowNanos)) {
      refill(nowNanos);
      tokens--;
    }
  }

  @Override
  public double delayUs(int callsAhead, long nowNanos) {
    if (!isLimited(nowNanos)) {
      return 0;
    }
    refill(nowNanos);
    double tokensUs = Math.max(0, callsAhead + 1 - tokens) / Math.max(ratePerS(), 1e-3) * 1e6;
    double windowUs = (window.roomAtNanos(maxRequests(), nowNanos) - nowNanos) / 1e3;
    double coldLeftUs = (coldUntilNanos - nowNanos) / 1e3;
    return Math.min(coldLeftUs, Math.max(tokensUs, windowUs));
  }

  /** Counts a call that is about to be sent; returns false if it must not be sent now. */
  boolean trySend(long nowNanos) {
    if (isLimited(nowNanos) && !window.hasRoom(maxRequests(), nowNanos)) {
      return false;
    }
    window.record(nowNanos);
    return true;
  }
}
