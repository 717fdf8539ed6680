package org.acaciapond.routing.call;

import java.util.function.BooleanSupplier;
import org.acaciapond.config.model.RouteConfig;

/**
 * State machine for the attempts of one call; confined to the thread of the call.
 *
 * <p>A call that may have run is never reported as not run, whatever the result of later attempts.
 * A call that is not idempotent is not sent again once it may have run.
 */
public final class CallAttempts {

  private final boolean idempotent;
  private final int maxRetries;
  private final BooleanSupplier budget;
  private int retries;
  private boolean mayHaveRun;

  /**
   * Creates the state of a call before its first attempt.
   *
   * @param route route of the call
   * @param isRetry whether the call is itself a retry by a node earlier in the call chain
   * @param budget takes one retry from the budget; returns false if it is exhausted
   */
  public CallAttempts(RouteConfig route, boolean isRetry, BooleanSupplier budget) {
    this.idempotent = route.idempotent();
    // Retrying a retry would multiply the attempts with the depth of the call chain.
    this.maxRetries = isRetry ? 0 : route.maxRetries();
    this.budget = budget;
  }

  /** Returns whether a target may have run the call in a finished attempt. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns the number of retries decided so far. */
  public int retries() {
    return retries;
  }

  /**
   * Decides how to proceed after an attempt.
   *
   * @param result result of the attempt
   * @param canResend whether the body can be sent again and time is left
   */
  public CallDecision onResult(AttemptResult result, boolean canResend) {
    switch (result) {
      case ANSWERED:
      case TARGET_ERROR:
      case REJECTED:
        return CallDecision.PASS_ON;
      case CALLER_GONE:
        return CallDecision.ABANDON;
      default:
        mayHaveRun |= result.mayHaveRun();
        return mayRetry(result, canResend) ? countRetry() : refusalFor(result);
    }
  }

  /** Decides how to end the call when no target can be chosen. */
  public CallDecision onNoTarget() {
    return mayHaveRun ? CallDecision.UNKNOWN : CallDecision.NOT_RUN;
  }

  private boolean mayRetry(AttemptResult result, boolean canResend) {
    boolean isRetryable =
        result == AttemptResult.REFUSED_NOT_RUN
            || result == AttemptResult.CONNECT_FAILED
            || result == AttemptResult.CONNECTION_LOST;
    return isRetryable
        && canResend
        && retries < maxRetries
        && (idempotent || !mayHaveRun)
        && budget.getAsBoolean();
  }

  private CallDecision countRetry() {
    retries++;
    return CallDecision.RETRY;
  }

  private CallDecision refusalFor(AttemptResult result) {
    boolean deadlinePassed =
        result == AttemptResult.DEADLINE_BEFORE_SEND
            || result == AttemptResult.DEADLINE_AT_NODE
            || result == AttemptResult.TIMEOUT;
    if (deadlinePassed) {
      return mayHaveRun ? CallDecision.DEADLINE_UNKNOWN : CallDecision.DEADLINE_NOT_RUN;
    }
    return onNoTarget();
  }
}
