package org.acaciapond.rollout.state;

/** What the controller wants done. */
public sealed interface RolloutDecision {

  /** Write the row if the table still holds the given revision. */
  record WriteRow(RolloutRow row, long expectedRevision) implements RolloutDecision {}

  /** Read the row, since the fate of a write is unknown or another holder wrote it. */
  record ReadRow() implements RolloutDecision {}

  /** Announce a recorded grant to all nodes. */
  record Announce(ShareGrant grant) implements RolloutDecision {}

  /** Add a taken-back fact; needs no lease. */
  record TakeBack(TakenBackVersion fact, String reason) implements RolloutDecision {}
}
