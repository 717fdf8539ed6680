package org.acaciapond.mesh.rollout;

/** State of a rollout. */
public enum RolloutState {
  /** Traffic is being shifted to the new version. */
  RUNNING,
  /** The new version gets all traffic. */
  COMPLETED,
  /** The new version was taken back and gets no traffic. */
  TAKEN_BACK
}
