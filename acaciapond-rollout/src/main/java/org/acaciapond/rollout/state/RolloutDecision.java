package org.acaciapond.rollout.state;

/** Action that a {@link RolloutController} requests. */
public sealed interface RolloutDecision {

  /** Write the row if the table still has the given revision. */
  record WriteRow(RolloutRow row, long expectedRevision) implements RolloutDecision {}

  /** Read the row, because the lease is new or a write failed or has an unknown outcome. */
  record ReadRow() implements RolloutDecision {}

  /** Announce a recorded grant to all nodes. */
  record Announce(ShareGrant grant) implements RolloutDecision {}

  /** Take a version back; needs no lease. */
  record TakeBack(TakenBackVersion version, String reason) implements RolloutDecision {}
}
