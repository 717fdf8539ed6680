package org.acaciapond.mesh.rollout;

/** How far a move is. */
public enum RolloutState {
  /** Traffic is moving. */
  RUNNING,
  /** The new version has all traffic. */
  COMPLETED,
  /** The new version was taken back. */
  TAKEN_BACK
}
