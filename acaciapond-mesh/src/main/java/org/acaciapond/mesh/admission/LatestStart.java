package org.acaciapond.mesh.admission;

/**
 * Latest time at which it is worth starting a call that waits for a slot. A call that has not
 * started by then is refused: it would most likely miss its deadline, and the refusal still reaches
 * the calling node before the deadline, so that this node can answer that the call has not run.
 */
public final class LatestStart {

  // A call with less than this share of its expected service time left is refused instead of run.
  private static final double MIN_REMAINING_TIME_SHARE = 0.5;
  // Time for the refusal to reach the calling node, and for its answer to reach the client.
  private static final long RETURN_TIME_NANOS = 25_000_000L;

  private LatestStart() {}

  /**
   * Returns the monotonic time of the latest start.
   *
   * @param deadlineNanos monotonic time of the call's deadline
   * @param serviceUs expected service time in the target
   */
  public static long nanos(long deadlineNanos, double serviceUs) {
    long minServiceNanos = (long) (serviceUs * MIN_REMAINING_TIME_SHARE * 1_000);
    return deadlineNanos - Math.max(minServiceNanos, RETURN_TIME_NANOS);
  }
}
