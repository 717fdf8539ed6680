package org.acaciapond.membership;

/** Change of the membership of this node that is reported to its other components. */
public enum MembershipEvent {
  /** The node has received all members and values from another node. */
  JOINED,
  /**
   * The process was paused or the node declared dead; it announces no target until it catches up.
   */
  CATCH_UP_REQUIRED
}
