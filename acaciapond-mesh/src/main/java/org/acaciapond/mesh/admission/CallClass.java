package org.acaciapond.mesh.admission;

/**
 * What admission knows of a call.
 *
 * @param route route, which groups calls of like length
 * @param rank order of admission, lowest first; calls of running requests come before new ones
 * @param objectiveAtNanos monotonic time until which an answer is worth most
 * @param deadlineNanos monotonic time after which an answer is worth nothing
 */
public record CallClass(String route, int rank, long objectiveAtNanos, long deadlineNanos) {

  /** Rank of calls that a running request needs: refusing one wastes the run. */
  public static final int RANK_NESTED = -1;
}
