package org.acaciapond.rollout.state;

import java.time.Instant;
import org.acaciapond.rollout.analysis.AnalysisResult;

/** What the controller is told. */
public sealed interface RolloutEvent {

  /** Time passed; carries the present judgement and the number of new targets that are ready. */
  record Tick(Instant now, AnalysisResult verdict, int readyTargets) implements RolloutEvent {}

  /** The lease was won or renewed with this epoch. */
  record LeaseHeld(long epoch) implements RolloutEvent {}

  /** The lease ended. */
  record LeaseLost() implements RolloutEvent {}

  /** The row as read from the table, at this revision. */
  record RowRead(RolloutRow row, long revision) implements RolloutEvent {}

  /** The outstanding write took effect. */
  record WriteApplied(long revision) implements RolloutEvent {}

  /** The outstanding write was refused or its fate is unknown. */
  record WriteFailed() implements RolloutEvent {}

  /** A taken-back fact arrived. */
  record FactSeen(TakenBackVersion fact) implements RolloutEvent {}

  /** Number of targets of the old version; the comparison rests while there are none. */
  record OldTargets(int count) implements RolloutEvent {}

  /** Number of announced targets of the new version, on which the steps depend. */
  record NewTargets(int count) implements RolloutEvent {}
}
