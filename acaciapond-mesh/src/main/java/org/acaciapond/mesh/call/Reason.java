package org.acaciapond.mesh.call;

/** Why a call had no answer of a target. */
public enum Reason {
  /** None: the target answered. */
  NONE,
  /** The target is full and the call could not wait. */
  FULL,
  /** The target leaves, is gone or is not known yet. */
  CLOSED,
  /** Another lifetime than the expected one is at the door. */
  OTHER_TARGET,
  /** The time of the call was over before it reached the target. */
  EXPIRED,
  /** No connection to the target could be made. */
  UNREACHABLE,
  /** The target turned the call away. */
  TURNED_AWAY,
  /** The connection broke after the call was sent. */
  BROKEN,
  /** The answer was not one of this call or not whole. */
  BAD_ANSWER,
  /** The call was cancelled. */
  CANCELLED,
  /** No target is known. */
  NO_TARGET,
  /** The node holds no desired state yet. */
  NOT_CONFIGURED
}
