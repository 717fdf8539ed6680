package org.acaciapond.rollout.state;

import java.time.Instant;
import org.acaciapond.rollout.analysis.AnalysisResult;

/** Event that a {@link RolloutController} handles. */
public sealed interface RolloutEvent {

  /** Time passed; carries the current analysis result and the number of ready new targets. */
  record Tick(Instant now, AnalysisResult result, int readyTargets) implements RolloutEvent {}

  /** The lease was won or renewed with this epoch. */
  record LeaseHeld(long epoch) implements RolloutEvent {}

  /** The lease ended. */
  record LeaseLost() implements RolloutEvent {}

  /** The row as read from the table, at this revision. */
  record RowRead(RolloutRow row, long revision) implements RolloutEvent {}

  /** The pending write took effect. */
  record WriteApplied(long revision) implements RolloutEvent {}

  /** The pending write was refused, or its outcome is unknown. */
  record WriteFailed() implements RolloutEvent {}

  /** A version was taken back at this or another node. */
  record TakeBackSeen(TakenBackVersion version) implements RolloutEvent {}

  /** Number of targets of the old version; without any, versions are no longer compared. */
  record OldTargetsCounted(int count) implements RolloutEvent {}

  /** Number of announced targets of the new version, which determines the steps. */
  record NewTargetsCounted(int count) implements RolloutEvent {}
}
