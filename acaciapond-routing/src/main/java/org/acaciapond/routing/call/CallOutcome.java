package org.acaciapond.routing.call;

/** Outcome of one attempt of a call, as seen by the node of the caller. */
public enum CallOutcome {
  /** The target answered without a server error. */
  SUCCESS,
  /** The target answered with a server error. */
  TARGET_ERROR,
  /** No response arrived before the deadline. */
  TIMEOUT,
  /** The connection was lost after the request was sent. */
  CONNECTION_LOST,
  /** The call was refused before anything reached the target. */
  NOT_RUN,
  /** The caller cancelled the call. */
  CANCELLED,
  /** The deadline had already passed when the call arrived. */
  DEADLINE_SPENT;

  /** Returns whether the outcome is evidence about the version of the target. */
  public boolean isEvidence() {
    return this == SUCCESS || isFailure();
  }

  /** Returns whether the outcome counts as a failure of the target. */
  public boolean isFailure() {
    return this == TARGET_ERROR || this == TIMEOUT || this == CONNECTION_LOST;
  }
}
