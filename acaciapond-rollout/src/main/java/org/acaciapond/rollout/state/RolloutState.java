package org.acaciapond.rollout.state;

/** State of a rollout. */
public enum RolloutState {
  /** Traffic is moving to the new version. */
  MOVING,
  /** The new version has the traffic; watched while the old one stands beside it. */
  DONE,
  /** Not proved good by the set time; the share stays where it is. */
  LATE,
  /** The new version was bad and gets no traffic. */
  TAKEN_BACK
}
