package org.acaciapond.membership;

/** Change of the own standing that the rest of the node must know of. */
public enum MembershipEvent {
  /** The node has received the members and values of another node. */
  JOINED,
  /** The node was paused or taken for dead; it announces no target until it has caught up. */
  CATCH_UP_REQUIRED
}
