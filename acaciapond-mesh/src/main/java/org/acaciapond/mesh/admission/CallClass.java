package org.acaciapond.mesh.admission;

/**
 * Properties of a call by which the admission queue orders and limits it.
 *
 * @param route route, which groups calls with similar service times
 * @param rank order of admission, a {@link CallRank}
 * @param objectiveAtNanos monotonic time of the latency objective, after which an answer has less
 *     value
 * @param deadlineNanos monotonic time after which an answer has no value
 */
public record CallClass(String route, int rank, long objectiveAtNanos, long deadlineNanos) {}
