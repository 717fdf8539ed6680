package org.acaciapond.mesh.admission;

import java.util.List;

/**
 * Result of offering a call.
 *
 * @param decision what happens to the call
 * @param retryAfterMs when there will be room, for a refused call
 * @param evicted queued calls that can no longer be in time and are refused instead
 * @param <T> type of calls
 */
public record AdmissionResult<T>(Decision decision, int retryAfterMs, List<T> evicted) {

  /** What happens to an offered call. */
  public enum Decision {
    /** It goes to the target now. */
    RUN,
    /** It waits in the queue. */
    WAIT,
    /** It is refused; it has not run and will not run. */
    REFUSE
  }
}
