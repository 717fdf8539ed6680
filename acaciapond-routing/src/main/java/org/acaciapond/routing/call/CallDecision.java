package org.acaciapond.routing.call;

/** What the node of the caller does after an attempt. */
public enum CallDecision {
  /** Send the call to another target. */
  RETRY(0),
  /** Pass on the answer of the target. */
  PASS_ON(0),
  /** Refuse the call as not run. */
  NOT_RUN(503),
  /** Refuse the call as not run because its deadline is spent. */
  DEADLINE_NOT_RUN(504),
  /** Report that it is not known whether the call ran. */
  UNKNOWN(502),
  /** Report that no answer came in time and that the call may have run. */
  DEADLINE_UNKNOWN(504),
  /** Send nothing, since the caller is gone. */
  ABANDON(0);

  private final int status;

  CallDecision(int status) {
    this.status = status;
  }

  /** Returns the HTTP status of a refusal, or 0 when none is sent. */
  public int status() {
    return status;
  }

  /** Returns whether the decision claims that the call did not run. */
  public boolean claimsNotRun() {
    return this == NOT_RUN || this == DEADLINE_NOT_RUN;
  }
}
