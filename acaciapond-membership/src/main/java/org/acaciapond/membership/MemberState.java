package org.acaciapond.membership;

/** What is known of a member. */
public enum MemberState {
  /** It answers, or nothing says that it does not. */
  ALIVE,
  /** It did not answer and has not contradicted yet. */
  SUSPECT,
  /** It takes no new work and finishes what it has. */
  LEAVING,
  /** It left in an orderly way. */
  LEFT,
  /** It is taken to have failed. */
  DEAD;

  /** Returns whether a target of such a member may receive new calls. */
  public boolean acceptsWork() {
    return this == ALIVE || this == SUSPECT;
  }
}
