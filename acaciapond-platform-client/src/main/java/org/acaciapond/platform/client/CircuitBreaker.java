package org.acaciapond.platform.client;

import java.time.Duration;
import org.acaciapond.common.time.TimeSource;

/**
 * Gate that stops attempts after consecutive failures and lets single probes through later.
 *
 * <p>Safe to use from any thread.
 */
public final class CircuitBreaker {

  private static final int DEFAULT_FAILURES = 5;
  private static final Duration DEFAULT_OPEN_TIME = Duration.ofSeconds(1);

  private final TimeSource time;
  private final int failureThreshold;
  private final long openNanos;
  private int consecutiveFailures;
  private boolean open;
  private long probeAtNanos;

  /**
   * Creates a closed breaker.
   *
   * @param time clock
   * @param failureThreshold consecutive failures that open it
   * @param openTime time between probes while it is open
   */
  public CircuitBreaker(TimeSource time, int failureThreshold, Duration openTime) {
    this.time = time;
    this.failureThreshold = failureThreshold;
    this.openNanos = openTime.toNanos();
  }

  /** Creates a breaker with the usual bounds. */
  public static CircuitBreaker withDefaults(TimeSource time) {
    return new CircuitBreaker(time, DEFAULT_FAILURES, DEFAULT_OPEN_TIME);
  }

  /** Returns whether an attempt may be made now; while open, one per open time. */
  public synchronized boolean tryAcquire() {
    if (!open) {
      return true;
    }
    long nowNanos = time.nanoTime();
    if (nowNanos - probeAtNanos < 0) {
      return false;
    }
    probeAtNanos = nowNanos + openNanos;
    return true;
  }

  /** Records that the platform answered. */
  public synchronized void onSuccess() {
    consecutiveFailures = 0;
    open = false;
  }

  /** Records that the platform gave no usable answer. */
  public synchronized void onFailure() {
    consecutiveFailures++;
    if (consecutiveFailures >= failureThreshold) {
      open = true;
      probeAtNanos = time.nanoTime() + openNanos;
    }
  }

  /** Returns whether it is open. */
  public synchronized boolean isOpen() {
    return open;
  }
}
