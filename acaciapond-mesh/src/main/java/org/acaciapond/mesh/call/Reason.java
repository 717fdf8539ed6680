package org.acaciapond.mesh.call;

/** Reason why a target did not answer a call. */
public enum Reason {
  /** None: the target answered. */
  NONE,
  /** The target has no free slot and the expected wait is too long for the call. */
  FULL,
  /** The target is draining, gone or not known yet, or the node does not admit calls. */
  CLOSED,
  /** The target has another lifetime than the one that the caller selected. */
  OTHER_TARGET,
  /** The deadline passed before the call reached the target or before the target answered. */
  EXPIRED,
  /** No connection to the target could be made. */
  UNREACHABLE,
  /** The target rejected the call without running it. */
  TURNED_AWAY,
  /** The connection broke after the call was sent. */
  BROKEN,
  /** The response was invalid, incomplete or did not belong to this call. */
  BAD_ANSWER,
  /** The call was cancelled. */
  CANCELLED,
  /** No target was available. */
  NO_TARGET,
  /** The node has no desired state yet. */
  NOT_CONFIGURED,
  /** The connection to the target's node broke after the call was sent. */
  NODE_LOST,
  /** The target answered with a failure after a nested call of the call had failed. */
  NESTED_FAILED
}
