package org.acaciapond.mesh.call;

/** How the node beside a target ended a call. */
public enum Outcome {
  /** The target answered. */
  ANSWERED,
  /** Refused before anything reached the target. */
  REFUSED,
  /** The target was reached and stated that it did not run the call. */
  NOT_RUN,
  /** The call may have run and no whole answer came. */
  UNKNOWN
}
