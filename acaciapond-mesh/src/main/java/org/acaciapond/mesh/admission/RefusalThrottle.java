package org.acaciapond.mesh.admission;

import java.util.function.DoubleSupplier;

/**
 * Limit of the requests that this node sends to the targets of a service which refuse most of them.
 * Each refusal by another node costs both nodes processor time. While more than half of the
 * requests are refused, the node refuses a part itself, the more the fewer are admitted ("adaptive
 * throttling"). One throttle counts the requests of one service and rank.
 */
public final class RefusalThrottle {

  private static final double MAX_REFUSED_PER_ADMITTED = 1;
  // Refusals that do not count, so that requests are still sent when none is admitted.
  private static final double FREE_REFUSALS = 5;
  private static final double HALF_LIFE_NANOS = 1e9;
  private static final double WAIT_SMOOTHING_FACTOR = 0.2;

  private final DoubleSupplier random;
  private double refused;
  private double admitted;
  private double waitMs;
  private long updatedNanos;

  /**
   * Creates a throttle that lets all requests pass.
   *
   * @param random uniform random numbers from [0, 1)
   */
  public RefusalThrottle(DoubleSupplier random) {
    this.random = random;
  }

  /** Records that a target admitted a request. */
  public void recordAdmitted(long nowNanos) {
    decay(nowNanos);
    admitted++;
  }

  /**
   * Records that targets refused a request because they were full.
   *
   * @param retryAfterMs time after which one of them has room
   */
  public void recordRefused(int retryAfterMs, long nowNanos) {
    decay(nowNanos);
    refused++;
    waitMs += WAIT_SMOOTHING_FACTOR * (retryAfterMs - waitMs);
  }

  /** Returns whether a request may be sent. */
  public boolean allows(long nowNanos) {
    decay(nowNanos);
    double excess = refused - MAX_REFUSED_PER_ADMITTED * admitted - FREE_REFUSALS;
    return excess <= 0 || random.getAsDouble() >= excess / (refused + admitted + 1);
  }

  /** Returns the mean time after which targets that refused calls have room. */
  public int waitMs() {
    return (int) waitMs;
  }

  private void decay(long nowNanos) {
    double factor = Math.pow(0.5, (nowNanos - updatedNanos) / HALF_LIFE_NANOS);
    refused *= factor;
    admitted *= factor;
    updatedNanos = nowNanos;
  }
}
