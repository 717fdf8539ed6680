package org.acaciapond.routing.call;

/** How one attempt of a call ended, as seen by the node of the caller. */
public enum CallOutcome {
  /** The target answered and the answer does not blame it. */
  SUCCESS,
  /** The target answered with a server error. */
  TARGET_ERROR,
  /** No answer came in the time allowed. */
  TIMEOUT,
  /** The connection was lost after the request was sent. */
  CONNECTION_LOST,
  /** The call was refused before anything reached the target. */
  NOT_RUN,
  /** The caller cancelled the call. */
  CANCELLED,
  /** The deadline had already passed when the call arrived. */
  DEADLINE_SPENT;

  /** Returns whether the outcome says something about the version of the target. */
  public boolean isEvidence() {
    return this == SUCCESS || isFailure();
  }

  /** Returns whether the outcome counts as a failure of the target. */
  public boolean isFailure() {
    return this == TARGET_ERROR || this == TIMEOUT || this == CONNECTION_LOST;
  }
}
