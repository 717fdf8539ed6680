package org.acaciapond.routing.target;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Load and latency of one target as observed by this node; safe for concurrent use. */
final class TargetLoad {

  private static final long UNKNOWN_LATENCY_NANOS = -1;
  private static final long LATENCY_SMOOTHING_SAMPLES = 8;

  /** Half-life of an estimate without new samples, so that a slow target is tried again. */
  private static final long LATENCY_HALF_LIFE_NANOS = 10_000_000_000L;

  private static final long INITIAL_LATENCY_NANOS = 1_000_000;
  private static final long MAX_FAILURE_PENALTY_NANOS = 1_000_000_000;

  /** Time for which a target counts as lacking capacity after it refused a call. */
  private static final long REFUSAL_BACK_OFF_NANOS = 100_000_000;

  private final long firstSeenNanos;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicLong latencyNanos = new AtomicLong(UNKNOWN_LATENCY_NANOS);
  private volatile long latencyUpdatedNanos;
  private volatile long refusedUntilNanos;

  TargetLoad(long nowNanos) {
    this.firstSeenNanos = nowNanos;
    this.latencyUpdatedNanos = nowNanos;
    this.refusedUntilNanos = nowNanos;
  }

  void onStart() {
    inFlight.incrementAndGet();
  }

  void onEnd() {
    inFlight.decrementAndGet();
  }

  int inFlight() {
    return inFlight.get();
  }

  void onLatency(long nanos, long nowNanos) {
    latencyUpdatedNanos = nowNanos;
    // A concurrent update may lose a sample, which hardly changes a moving average.
    long estimate = latencyNanos.get();
    latencyNanos.set(
        estimate == UNKNOWN_LATENCY_NANOS
            ? nanos
            : estimate + (nanos - estimate) / LATENCY_SMOOTHING_SAMPLES);
  }

  /** Records a failure as a high latency, so that a target that fails fast attracts no calls. */
  void onFailure(long nanos, long nowNanos) {
    long penalty = Math.min(MAX_FAILURE_PENALTY_NANOS, 2 * (long) expectedLatencyNanos(nowNanos));
    onLatency(Math.max(nanos, penalty), nowNanos);
  }

  void onRefusal(long nowNanos) {
    refusedUntilNanos = nowNanos + REFUSAL_BACK_OFF_NANOS;
  }

  boolean refusedRecently(long nowNanos) {
    return refusedUntilNanos - nowNanos > 0;
  }

  /** Returns the cost of one more call: the expected latency times the relative load. */
  double cost(double capacity, long nowNanos) {
    return expectedLatencyNanos(nowNanos) * (1 + inFlight.get() / capacity);
  }

  private double expectedLatencyNanos(long nowNanos) {
    long estimate = latencyNanos.get();
    if (estimate == UNKNOWN_LATENCY_NANOS) {
      return INITIAL_LATENCY_NANOS;
    }
    long halvings =
        Math.min(62, Math.max(0, nowNanos - latencyUpdatedNanos) / LATENCY_HALF_LIFE_NANOS);
    return Math.max(1, estimate >> halvings);
  }

  /** Returns the effective fraction of the weight, which grows linearly during slow start. */
  double slowStartFactor(long nowNanos, long slowStartNanos, double initialFraction) {
    long age = nowNanos - firstSeenNanos;
    if (age >= slowStartNanos) {
      return 1;
    }
    return initialFraction + (1 - initialFraction) * age / slowStartNanos;
  }
}
