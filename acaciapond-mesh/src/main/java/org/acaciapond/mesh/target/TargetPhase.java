package org.acaciapond.mesh.target;

/** Phase of a target's lifecycle as its own node knows it. */
public enum TargetPhase {
  /** No check-in has been received; the target gets no calls. */
  UNKNOWN,
  /** The target accepts calls. */
  READY,
  /** The target announced its shutdown and gets no new calls. */
  DRAINING,
  /** The target is deregistered and gets no new calls. */
  GONE
}
