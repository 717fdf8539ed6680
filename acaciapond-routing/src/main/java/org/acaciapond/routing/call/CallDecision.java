package org.acaciapond.routing.call;

/** Decision of the caller's node after an attempt. */
public enum CallDecision {
  /** Send the call to another target. */
  RETRY(0),
  /** Pass on the response of the target. */
  PASS_ON(0),
  /** Refuse the call as not run. */
  NOT_RUN(503),
  /** Refuse the call as not run because its deadline is spent. */
  DEADLINE_NOT_RUN(504),
  /** Report that it is not known whether the call ran. */
  UNKNOWN(502),
  /** Report that no response arrived in time and that the call may have run. */
  DEADLINE_UNKNOWN(504),
  /** Send nothing because the caller has disconnected. */
  ABANDON(0);

  private final int status;

  CallDecision(int status) {
    this.status = status;
  }

  /** Returns the HTTP status of a refusal, or 0 if none is sent. */
  public int status() {
    return status;
  }

  /** Returns whether the decision claims that the call did not run. */
  public boolean claimsNotRun() {
    return this == NOT_RUN || this == DEADLINE_NOT_RUN;
  }
}
