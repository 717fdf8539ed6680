package org.acaciapond.node.proxy;

import io.vertx.core.MultiMap;
import java.util.List;

/** Names and values of the HTTP headers that nodes add to calls. */
public final class MeshHeaders {

  /** ID of the call. */
  public static final String CALL_ID = "x-acaciapond-call-id";

  /**
   * ID of the exchange between a node and its target on one connection. A target returns it in the
   * response, so that the node can reuse the connection.
   */
  public static final String EXCHANGE_ID = "x-acaciapond-exchange-id";

  /** Time remaining until the deadline, in milliseconds. */
  public static final String DEADLINE_MS = "x-acaciapond-deadline-ms";

  /** Service of the caller. */
  public static final String CALLER = "x-acaciapond-caller";

  /** Version of the target that responded. */
  public static final String VERSION = "x-acaciapond-version";

  /** Outcome of a refused call: {@code not-run} or {@code unknown}. */
  public static final String OUTCOME = "x-acaciapond-outcome";

  /** Value of {@link #OUTCOME} if nothing reached the target. */
  public static final String OUTCOME_NOT_RUN = "not-run";

  /** Value of {@link #OUTCOME} if it is unknown whether the call ran. */
  public static final String OUTCOME_UNKNOWN = "unknown";

  /**
   * Marker of a call that is itself a retry; no node further down the call chain retries it. A
   * target copies it to the calls that it makes for this one.
   */
  public static final String RETRY = "x-acaciapond-retry";

  /**
   * Outcome that a target passed on from further down the call chain. It never causes a retry,
   * because the target of this hop ran.
   */
  public static final String DOWNSTREAM_OUTCOME = "x-acaciapond-deeper-outcome";

  /**
   * Time from sending the call to the target until its response headers, in microseconds; absent
   * while the target is warming up.
   */
  public static final String TARGET_TIME_US = "x-acaciapond-target-time-us";

  private static final String PREFIX = "x-acaciapond-";

  private MeshHeaders() {}

  /**
   * Removes all mesh headers from the call of an external client, which must not be able to forge a
   * caller, a retry or a target time.
   */
  static void removeFrom(MultiMap headers) {
    for (String name : List.copyOf(headers.names())) {
      if (name.regionMatches(true, 0, PREFIX, 0, PREFIX.length())) {
        headers.remove(name);
      }
    }
  }
}
