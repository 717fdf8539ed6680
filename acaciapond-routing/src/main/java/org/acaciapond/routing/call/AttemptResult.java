package org.acaciapond.routing.call;

/** Result of one attempt as seen by the caller's node. */
public enum AttemptResult {
  /** The target answered without a server error. */
  ANSWERED(CallOutcome.SUCCESS, true),
  /** The target answered with a server error, possibly a refusal from further down the chain. */
  TARGET_ERROR(CallOutcome.TARGET_ERROR, true),
  /** The receiving node refused before anything reached its target. */
  REFUSED_NOT_RUN(CallOutcome.NOT_RUN, false),
  /** The receiving node refused for a reason that applies to every target, and ran nothing. */
  REJECTED(CallOutcome.NOT_RUN, false),
  /** No connection could be established, so nothing was sent. */
  CONNECT_FAILED(CallOutcome.NOT_RUN, false),
  /** The connection was lost after something was sent, or the receiving node lost its target. */
  CONNECTION_LOST(CallOutcome.CONNECTION_LOST, true),
  /** The deadline passed before anything was sent. */
  DEADLINE_BEFORE_SEND(CallOutcome.DEADLINE_SPENT, false),
  /** The receiving node found that the deadline had passed, and ran nothing. */
  DEADLINE_AT_NODE(CallOutcome.DEADLINE_SPENT, false),
  /** The deadline passed after something was sent. */
  TIMEOUT(CallOutcome.TIMEOUT, true),
  /** The caller disconnected or cancelled the call. */
  CALLER_GONE(CallOutcome.CANCELLED, true);

  private final CallOutcome outcome;
  private final boolean mayHaveRun;

  AttemptResult(CallOutcome outcome, boolean mayHaveRun) {
    this.outcome = outcome;
    this.mayHaveRun = mayHaveRun;
  }

  /** Returns the outcome to record. */
  public CallOutcome outcome() {
    return outcome;
  }

  /** Returns whether the target may have run the call. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }
}
