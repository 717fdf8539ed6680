package org.acaciapond.rollout.state;

/** What the controller wants done. */
public sealed interface Decision {

  /** Write the row if the table still holds the given revision. */
  record WriteRow(RolloutRow row, long expectedRevision) implements Decision {}

  /** Read the row, since the fate of a write is unknown or another holder wrote it. */
  record ReadRow() implements Decision {}

  /** Announce a recorded grant to all nodes. */
  record Announce(Grant grant) implements Decision {}

  /** Add a taken-back fact; needs no lease. */
  record TakeBack(TakenBack fact, String reason) implements Decision {}
}
