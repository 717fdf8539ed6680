package org.acaciapond.mesh.admission;

/**
 * Properties of a call by which the admission queue orders and limits it.
 *
 * @param route route, which groups calls with similar service times
 * @param rank order of admission, a {@link CallRank}
 * @param objectiveAtNanos monotonic time of the latency objective, after which an answer has less
 *     value
 * @param deadlineNanos monotonic time after which an answer has no value
 * @param account name of the client account; empty if the call has none
 */
public record CallClass(
    String route, int rank, long objectiveAtNanos, long deadlineNanos, String account) {

  /** Creates the properties of a call without an account. */
  public CallClass(String route, int rank, long objectiveAtNanos, long deadlineNanos) {
    this(route, rank, objectiveAtNanos, deadlineNanos, "");
  }

  /** Returns these properties with another rank. */
  CallClass withRank(int other) {
    return new CallClass(route, other, objectiveAtNanos, deadlineNanos, account);
  }
}
