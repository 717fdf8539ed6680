package org.acaciapond.platform.client;

import java.time.Duration;
import org.acaciapond.common.time.TimeSource;

/**
 * Circuit breaker that opens after consecutive failures and then admits one probe per open time.
 *
 * <p>Safe to use from any thread.
 */
public final class CircuitBreaker {

  private static final int DEFAULT_FAILURE_THRESHOLD = 5;
  private static final Duration DEFAULT_OPEN_TIME = Duration.ofSeconds(1);

  private final TimeSource time;
  private final int failureThreshold;
  private final long openNanos;
  private int consecutiveFailures;
  private boolean open;
  private long nextProbeNanos;

  /**
   * Creates a closed circuit breaker.
   *
   * @param time clock
   * @param failureThreshold consecutive failures that open it
   * @param openTime time between probes while the circuit breaker is open
   */
  public CircuitBreaker(TimeSource time, int failureThreshold, Duration openTime) {
    this.time = time;
    this.failureThreshold = failureThreshold;
    this.openNanos = openTime.toNanos();
  }

  /** Creates a circuit breaker with the default threshold and open time. */
  public static CircuitBreaker withDefaults(TimeSource time) {
    return new CircuitBreaker(time, DEFAULT_FAILURE_THRESHOLD, DEFAULT_OPEN_TIME);
  }

  /** Returns whether an attempt may be made now; admits one attempt per open time while open. */
  public synchronized boolean tryAcquire() {
    if (!open) {
      return true;
    }
    long nowNanos = time.nanoTime();
    if (nowNanos - nextProbeNanos < 0) {
      return false;
    }
    nextProbeNanos = nowNanos + openNanos;
    return true;
  }

  /** Records a response of the platform and closes the circuit breaker. */
  public synchronized void onSuccess() {
    consecutiveFailures = 0;
    open = false;
  }

  /** Records that the platform gave no usable response. */
  public synchronized void onFailure() {
    consecutiveFailures++;
    if (consecutiveFailures >= failureThreshold) {
      open = true;
      nextProbeNanos = time.nanoTime() + openNanos;
    }
  }

  /** Returns whether the circuit breaker is open. */
  public synchronized boolean isOpen() {
    return open;
  }
}
