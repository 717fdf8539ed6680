package org.acaciapond.bench.quota;

import java.util.ArrayDeque;
import java.util.Deque;

/** Requests of one account: what passed, and what one token bucket for all nodes would pass. */
final class AccountCounts {

  private final double limitPerS;
  private final double burst;
  private final long windowNanos;
  private final Deque<Long> passed = new ArrayDeque<>();
  private double tokens;
  private long updatedNanos;
  private int allowedInPeriod;
  private int passedInPeriod;
  long allowed;
  long refusedAllowed;
  int largestWindow;

  AccountCounts(double limitPerS, double burst, long windowNanos) {
    this.limitPerS = limitPerS;
    this.burst = Math.max(1, burst);
    this.windowNanos = windowNanos;
    this.tokens = this.burst;
  }

  void recordRequest(long nowNanos) {
    tokens = Math.min(burst, tokens + (nowNanos - updatedNanos) / 1e9 * limitPerS);
    updatedNanos = nowNanos;
    if (tokens >= 1) {
      tokens--;
      allowedInPeriod++;
    }
  }

  void recordPassed(long nowNanos) {
    passedInPeriod++;
    passed.add(nowNanos);
    while (nowNanos - passed.peek() >= windowNanos) {
      passed.remove();
    }
    largestWindow = Math.max(largestWindow, passed.size());
  }

  /** Compares what passed in a period with what was allowed in it. */
  void endPeriod() {
    allowed += allowedInPeriod;
    refusedAllowed += Math.max(0, allowedInPeriod - passedInPeriod);
    allowedInPeriod = 0;
    passedInPeriod = 0;
  }
}
