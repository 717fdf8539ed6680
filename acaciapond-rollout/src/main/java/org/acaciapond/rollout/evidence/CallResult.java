package org.acaciapond.rollout.evidence;

/** Result of one call as seen by the node of the caller. */
public enum CallResult {
  /** The target responded without an error of its own. */
  SUCCESS(true),
  /** The target failed the call. */
  ERROR(true),
  /** The call was refused before the target executed it. */
  NOT_RUN(false),
  /** The caller cancelled the call. */
  CANCELLED(false),
  /** The deadline had passed before the call arrived. */
  DEADLINE_SPENT(false);

  private final boolean informative;

  CallResult(boolean informative) {
    this.informative = informative;
  }

  /** Returns whether the result is evidence about the version that was called. */
  public boolean isInformative() {
    return informative;
  }
}
