package org.acaciapond.routing.call;

/**
 * Record of a finished attempt of a call.
 *
 * @param service service that was called
 * @param version version of the chosen target
 * @param route path prefix of the matched route
 * @param hostId host of the chosen target
 * @param outcome outcome of the attempt
 * @param latencyNanos time from the choice of the target to the end of the response
 * @param targetNanos service time in the target, as measured by the node on its host, or {@link
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

  /** Service time of a call that was not answered, or answered before the target was warm. */
  public static final long UNKNOWN_NANOS = -1;
}
