package org.acaciapond.mesh.admission;

/**
 * Properties of a call by which the admission queue orders and limits it.
 *
 * @param route route, which groups calls with similar service times
 * @param rank order of admission, lowest first; calls of running requests come before new ones
 * @param objectiveAtNanos monotonic time of the latency objective, after which an answer has less
 *     value
 * @param deadlineNanos monotonic time after which an answer has no value
 */
public record CallClass(String route, int rank, long objectiveAtNanos, long deadlineNanos) {

  /**
   * Rank of calls made by a running request: refusing one wastes the work done for that request.
   */
  public static final int RANK_NESTED = -1;
}
