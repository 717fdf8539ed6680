package org.acaciapond.mesh.call;

/** Outcome of a call at the node of a target. */
public enum Outcome {
  /** The target answered. */
  ANSWERED,
  /** The call was refused before anything reached the target. */
  REFUSED,
  /** The target was reached and stated that it did not run the call. */
  NOT_RUN,
  /** The call may have run, but no complete response was received. */
  UNKNOWN
}
