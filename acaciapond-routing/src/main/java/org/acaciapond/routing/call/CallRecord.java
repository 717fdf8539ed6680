package org.acaciapond.routing.call;

/**
 * Finished attempt of a call.
 *
 * @param service service that was called
 * @param version version of the chosen target
 * @param route path prefix of the matched route
 * @param hostId host of the chosen target
 * @param outcome how it ended
 * @param latencyNanos time from the choice of the target to the end of the answer
 * @param targetNanos time that the target took, as the node beside it measured, or {@link
 *     #UNKNOWN_NANOS}
 */
public record CallRecord(
    String service,
    String version,
    String route,
    String hostId,
    CallOutcome outcome,
    long latencyNanos,
    long targetNanos) {

  /** Time in the target of a call that it did not answer, or answered while it was cold. */
  public static final long UNKNOWN_NANOS = -1;
}
