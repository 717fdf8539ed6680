package org.acaciapond.membership;

/** State of a member. */
public enum MemberState {
  /** The member answers probes, as far as is known. */
  ALIVE,
  /** The member did not answer a probe and has not refuted the suspicion yet. */
  SUSPECT,
  /** The member accepts no new calls and completes those in progress. */
  LEAVING,
  /** The member left after draining. */
  LEFT,
  /** The member is considered failed. */
  DEAD;

  /** Returns whether the target of a member in this state may receive new calls. */
  public boolean acceptsWork() {
    return this == ALIVE || this == SUSPECT;
  }
}
