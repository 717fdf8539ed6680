package org.acaciapond.mesh.admission;

import java.util.List;

/**
 * Decision of the admission queue on an offered call.
 *
 * @param decision what happens to the call
 * @param retryAfterMs time after which a slot is expected to be free, for a refused call
 * @param evicted queued calls that can no longer meet their deadline and are refused instead
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
