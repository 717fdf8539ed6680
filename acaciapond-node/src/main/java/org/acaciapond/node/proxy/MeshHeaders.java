package org.acaciapond.node.proxy;

import io.vertx.core.MultiMap;
import java.util.List;

/** Names of the headers that nodes add to calls. */
public final class MeshHeaders {

  /** Identity of the call. */
  public static final String CALL_ID = "x-acaciapond-call-id";

  /** Time left until the deadline, in milliseconds. */
  public static final String DEADLINE_MS = "x-acaciapond-deadline-ms";

  /** Service of the caller. */
  public static final String CALLER = "x-acaciapond-caller";

  /** Version of the target that answered. */
  public static final String VERSION = "x-acaciapond-version";

  /** Fate of a refused call: {@code not-run} or {@code unknown}. */
  public static final String OUTCOME = "x-acaciapond-outcome";

  /** Value of {@link #OUTCOME} when nothing reached the target. */
  public static final String OUTCOME_NOT_RUN = "not-run";

  /** Value of {@link #OUTCOME} when it is not known whether the call ran. */
  public static final String OUTCOME_UNKNOWN = "unknown";

  /**
   * Mark of a call that is itself a retry; no node further down retries it. A target passes it on
   * with the calls that it makes for this one.
   */
  public static final String RETRY = "x-acaciapond-retry";

  /**
   * Fate that a target passed on from deeper in the chain. It never causes a retry, since the
   * target of this hop ran.
   */
  public static final String DEEPER_OUTCOME = "x-acaciapond-deeper-outcome";

  /**
   * Time from the hand-over to the target until the head of its answer, in microseconds; absent
   * while the target is cold.
   */
  public static final String TARGET_TIME_US = "x-acaciapond-target-time-us";

  private static final String PREFIX = "x-acaciapond-";

  private MeshHeaders() {}

  /**
   * Removes all headers of the mesh from the call of an outside caller, which must not be able to
   * claim a caller, a retry or a time in the target.
   */
  static void removeFrom(MultiMap headers) {
    for (String name : List.copyOf(headers.names())) {
      if (name.regionMatches(true, 0, PREFIX, 0, PREFIX.length())) {
        headers.remove(name);
      }
    }
  }
}
