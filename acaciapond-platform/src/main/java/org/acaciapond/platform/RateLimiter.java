package org.acaciapond.platform;

import org.acaciapond.common.time.TimeSource;

/** Token bucket with a capacity of the tokens of one second. */
final class RateLimiter {

  private static final double NANOS_PER_SECOND = 1e9;

  private final TimeSource time;
  private final double perSecond;
  private double tokens;
  private long refilledAtNanos;

  RateLimiter(TimeSource time, long perSecond) {
    this.time = time;
    this.perSecond = perSecond;
    this.tokens = perSecond;
    this.refilledAtNanos = time.nanoTime();
  }

  /** Takes a token; returns false if there is none. */
  synchronized boolean tryAcquire() {
    long nowNanos = time.nanoTime();
    double refill = (nowNanos - refilledAtNanos) / NANOS_PER_SECOND * perSecond;
    tokens = Math.min(perSecond, tokens + refill);
    refilledAtNanos = nowNanos;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
