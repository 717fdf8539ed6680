package org.acaciapond.routing.target;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Load and latency of one target as seen by this node; safe for several threads. */
final class TargetLoad {

  private static final long UNKNOWN = -1;
  private static final long SMOOTHING = 8;

  /** A latency estimate halves after this time, so that a slow target is tried again. */
  private static final long HALF_LIFE_NANOS = 10_000_000_000L;

  private static final long FIRST_ESTIMATE_NANOS = 1_000_000;
  private static final long MAX_PENALTY_NANOS = 1_000_000_000;

  /** Time for which a target that refused a call counts as short of capacity. */
  private static final long REFUSAL_NANOS = 100_000_000;

  private final long firstSeenNanos;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicLong latencyNanos = new AtomicLong(UNKNOWN);
  private volatile long updatedNanos;
  private volatile long refusedUntilNanos;

  TargetLoad(long nowNanos) {
    this.firstSeenNanos = nowNanos;
    this.updatedNanos = nowNanos;
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
    updatedNanos = nowNanos;
    // Concurrent updates may lose a sample, which an average can bear.
    long known = latencyNanos.get();
    latencyNanos.set(known == UNKNOWN ? nanos : known + (nanos - known) / SMOOTHING);
  }

  /** Counts a failure as slow, so that a target that fails fast does not attract calls. */
  void onFailure(long nanos, long nowNanos) {
    long penalty = Math.min(MAX_PENALTY_NANOS, 2 * (long) expectedNanos(nowNanos));
    onLatency(Math.max(nanos, penalty), nowNanos);
  }

  void onRefusal(long nowNanos) {
    refusedUntilNanos = nowNanos + REFUSAL_NANOS;
  }

  boolean refusedLately(long nowNanos) {
    return refusedUntilNanos - nowNanos > 0;
  }

  /** Returns the expected latency times the load for one more call. */
  double cost(double capacity, long nowNanos) {
    return expectedNanos(nowNanos) * (1 + inFlight.get() / capacity);
  }

  private double expectedNanos(long nowNanos) {
    long known = latencyNanos.get();
    if (known == UNKNOWN) {
      return FIRST_ESTIMATE_NANOS;
    }
    long halvings = Math.min(62, Math.max(0, nowNanos - updatedNanos) / HALF_LIFE_NANOS);
    return Math.max(1, known >> halvings);
  }

  /** Returns the share of its weight that a target may carry, growing over its slow start. */
  double warmth(long nowNanos, long slowStartNanos, double coldShare) {
    long age = nowNanos - firstSeenNanos;
    if (age >= slowStartNanos) {
      return 1;
    }
    return coldShare + (1 - coldShare) * age / slowStartNanos;
  }
}
