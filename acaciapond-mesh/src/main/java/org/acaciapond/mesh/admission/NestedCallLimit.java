package org.acaciapond.mesh.admission;

/**
 * Adaptive limit of the running calls of one route, for requests that make nested calls. If the
 * nested calls wait for slots of their service, more running requests would only hold slots of this
 * target while they wait, and all of them would be late. The limit therefore falls while nested
 * calls wait, so that further requests are refused at once and the running ones are in time, and
 * rises again afterwards (additive increase, multiplicative decrease).
 */
final class NestedCallLimit {

  private static final double SMOOTHING_FACTOR = 0.15;
  private static final double MAX_CONGESTED_SHARE = 0.3;
  private static final double MIN_CONGESTED_SHARE = 0.15;
  private static final double DECREASE_FACTOR = 0.85;
  private static final double INCREASE_FACTOR = 1.1;
  private static final double MIN_INCREASE = 0.5;
  private static final double MIN_LIMIT = 1;
  private static final long ADJUSTMENT_INTERVAL_NANOS = 100_000_000L;
  // Without nested calls for this time, nothing is known about their service.
  private static final long VALIDITY_NANOS = 1_000_000_000L;

  private double limit = Double.POSITIVE_INFINITY;
  private double congestedShare;
  private long adjustedNanos;
  private long recordedNanos;

  /**
   * Records the end of a nested call.
   *
   * @param congested whether it was refused as its service is full, or its target has a long queue
   * @param slots slots of the target that makes the nested calls
   */
  void record(boolean congested, int slots, long nowNanos) {
    if (nowNanos - recordedNanos > VALIDITY_NANOS) {
      congestedShare = 0;
      limit = slots;
      adjustedNanos = nowNanos;
    }
    recordedNanos = nowNanos;
    congestedShare += SMOOTHING_FACTOR * ((congested ? 1 : 0) - congestedShare);
    if (nowNanos - adjustedNanos < ADJUSTMENT_INTERVAL_NANOS) {
      return;
    }
    adjustedNanos = nowNanos;
    limit = Math.min(limit, slots);
    if (congestedShare > MAX_CONGESTED_SHARE) {
      limit = Math.max(MIN_LIMIT, limit * DECREASE_FACTOR);
    } else if (congestedShare < MIN_CONGESTED_SHARE) {
      limit = Math.min(slots, Math.max(limit * INCREASE_FACTOR, limit + MIN_INCREASE));
    }
  }

  /** Returns the number of calls that may run at once. */
  int limit(long nowNanos) {
    return nowNanos - recordedNanos > VALIDITY_NANOS ? Integer.MAX_VALUE : (int) limit;
  }
}
