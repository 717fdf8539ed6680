package org.acaciapond.rollout.evidence;

/** Result of one call as the caller's node saw it. */
public enum CallResult {
  /** The target answered without a fault of its own. */
  SUCCESS(true),
  /** The target failed the call. */
  ERROR(true),
  /** Refused before the target ran it. */
  NOT_RUN(false),
  /** Cancelled by the caller. */
  CANCELLED(false),
  /** Arrived with its deadline already spent. */
  DEADLINE_SPENT(false);

  private final boolean informative;

  CallResult(boolean informative) {
    this.informative = informative;
  }

  /** Whether the result says anything about the version that was called. */
  public boolean informative() {
    return informative;
  }
}
