package org.acaciapond.rollout.state;

/** State of a rollout. */
public enum RolloutState {
  /** The share of the new version is being raised. */
  MOVING,
  /** The new version has its full share; still analyzed while the old version has targets. */
  DONE,
  /** The rollout was not complete at its deadline; the share does not change. */
  LATE,
  /** The new version was found bad and gets no traffic. */
  TAKEN_BACK
}
