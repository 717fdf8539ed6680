package org.acaciapond.mesh.pace;

/** End of a call that was sent to the target, as evidence of how many calls the target can run. */
public enum CallEnd {
  /** The target answered, with any status that says that it ran the call. */
  ANSWERED,
  /** The target refused the call as it has no room; the call did not run. */
  REFUSED,
  /** The target answered, but the answer says nothing about its load. */
  NO_EVIDENCE,
  /** The connection broke before an answer, or the answer was invalid. */
  BROKEN,
  /** The caller or the deadline ended the call before an answer. */
  ABANDONED
}
