package org.acaciapond.mesh.admission;

import java.util.function.DoubleSupplier;

/**
 * Limit of the requests that this node sends to the targets of a service which refuse most of them.
 * Each refusal by another node costs both nodes processor time. While more than half of the
 * requests are refused, the node refuses a part itself, the more the fewer are admitted ("adaptive
 * throttling"). One throttle counts the requests of one service and rank.
 */
public final class RefusalThrottle {

  private static final double MAX_REQUESTS_PER_ADMITTED = 2;
  // Requests that are sent in any case, so that the node learns that there is room again.
  private static final double FREE_REQUESTS = 5;
  private static final double HALF_LIFE_NANOS = 1e9;
  private static final double WAIT_SMOOTHING_FACTOR = 0.2;

  private final DoubleSupplier random;
  private double sent;
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
   * Records that a target refused a request.
   *
   * @param retryAfterMs time after which it has room
   */
  public void recordRefused(int retryAfterMs) {
    waitMs += WAIT_SMOOTHING_FACTOR * (retryAfterMs - waitMs);
  }

  /**
   * Returns whether a request may be sent. Only the sent ones count, so that the throttle ends soon
   * after the refusals.
   */
  public boolean allows(long nowNanos) {
    decay(nowNanos);
    double excess = sent - MAX_REQUESTS_PER_ADMITTED * admitted - FREE_REQUESTS;
    boolean allowed = excess <= 0 || random.getAsDouble() >= excess / (sent + 1);
    sent += allowed ? 1 : 0;
    return allowed;
  }

  /** Returns the mean time after which targets that refused calls have room. */
  public int waitMs() {
    return (int) waitMs;
  }

  private void decay(long nowNanos) {
    double factor = Math.pow(0.5, (nowNanos - updatedNanos) / HALF_LIFE_NANOS);
    sent *= factor;
    admitted *= factor;
    updatedNanos = nowNanos;
  }
}
