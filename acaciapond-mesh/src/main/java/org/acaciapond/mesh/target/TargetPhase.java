package org.acaciapond.mesh.target;

/** Phase of a target's life as its own node knows it. */
public enum TargetPhase {
  /** No check-in of this lifetime has been seen; nothing is sent. */
  UNKNOWN,
  /** Takes calls. */
  READY,
  /** Announced that it leaves; takes no new calls. */
  DRAINING,
  /** Deregistered; takes no new calls. */
  GONE
}
