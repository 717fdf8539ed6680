package org.acaciapond.rollout.state;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.acaciapond.rollout.analysis.AnalysisResult;
import org.acaciapond.rollout.schedule.RolloutScheduler;
import org.jspecify.annotations.Nullable;

/**
 * State machine of the rollout of one service: it handles events and returns decisions. Only the
 * recorded row outlives the controller; a successor reads it and continues from there.
 */
public final class RolloutController {

  private final RolloutScheduler scheduler;
  private final RolloutInvariants invariants;
  private int targets;
  private @Nullable RolloutRow row;
  private @Nullable RolloutRow pendingWrite;
  private long revision;
  private long leaseEpoch;
  private boolean leaseHeld;
  private boolean readPending;
  private boolean takenBack;
  private boolean oldVersionGone;

  /** Reason to record if the rollout becomes late or is taken back; empty if there is none. */
  private String pendingReason = "";

  /** Creates a controller of a service whose new version has the given number of targets. */
  public RolloutController(RolloutScheduler scheduler, RolloutInvariants invariants, int targets) {
    this.scheduler = scheduler;
    this.invariants = invariants;
    this.targets = targets;
  }

  /** Handles an event and returns the resulting decisions in order. */
  public List<RolloutDecision> handle(RolloutEvent event) {
    List<RolloutDecision> decisions = new ArrayList<>();
    if (event instanceof RolloutEvent.Tick tick) {
      onTick(tick, decisions);
    } else if (event instanceof RolloutEvent.LeaseHeld held) {
      onLeaseHeld(held, decisions);
    } else if (event instanceof RolloutEvent.LeaseLost) {
      leaseHeld = false;
    } else if (event instanceof RolloutEvent.RowRead read) {
      onRowRead(read, decisions);
    } else if (event instanceof RolloutEvent.WriteApplied applied) {
      onWriteApplied(applied, decisions);
    } else if (event instanceof RolloutEvent.WriteFailed) {
      requestRead(decisions);
    } else if (event instanceof RolloutEvent.TakeBackSeen seen) {
      onTakeBackSeen(seen.version());
    } else if (event instanceof RolloutEvent.OldTargetsCounted old) {
      oldVersionGone = old.count() == 0;
    } else if (event instanceof RolloutEvent.NewTargetsCounted changed) {
      targets = changed.count();
    }
    return decisions;
  }

  /** Returns the row last known to be recorded. */
  public @Nullable RolloutRow row() {
    return row;
  }

  private void onLeaseHeld(RolloutEvent.LeaseHeld held, List<RolloutDecision> decisions) {
    boolean isNewLease = !leaseHeld || held.epoch() > leaseEpoch;
    leaseHeld = true;
    leaseEpoch = held.epoch();
    if (isNewLease) {
      requestRead(decisions);
    }
  }

  private void requestRead(List<RolloutDecision> decisions) {
    pendingWrite = null;
    readPending = true;
    decisions.add(new RolloutDecision.ReadRow());
  }

  private void onRowRead(RolloutEvent.RowRead read, List<RolloutDecision> decisions) {
    RolloutRow known = row;
    readPending = false;
    boolean older = known != null && read.revision() < revision;
    // A read that returns the row from before the pending write does not tell its outcome.
    boolean olderThanWrite = pendingWrite != null && read.revision() == revision;
    if (older || olderThanWrite) {
      return;
    }
    row = read.row();
    revision = read.revision();
    pendingWrite = null;
    if (row.state() == RolloutState.TAKEN_BACK) {
      takenBack = true;
      // The analyzer that rejected the version may have stopped before it spread the take-back.
      TakenBackVersion version = new TakenBackVersion(row.service(), row.to());
      decisions.add(new RolloutDecision.TakeBack(version, row.reason()));
    }
    announce(row, decisions);
  }

  private void onWriteApplied(RolloutEvent.WriteApplied applied, List<RolloutDecision> decisions) {
    RolloutRow written = pendingWrite;
    if (written == null) {
      return;
    }
    RolloutRow before = row;
    if (before != null) {
      invariants.checkTransition(before, written);
    }
    row = written;
    revision = applied.revision();
    pendingWrite = null;
    announce(written, decisions);
  }

  // Grants are idempotent by number, so a successor may announce the recorded grant again.
  private void announce(RolloutRow recorded, List<RolloutDecision> decisions) {
    invariants.checkAnnounced(recorded.grant(), recorded);
    if (recorded.grantNumber() > 0) {
      decisions.add(new RolloutDecision.Announce(recorded.grant()));
    }
  }

  private void onTakeBackSeen(TakenBackVersion version) {
    RolloutRow current = row;
    if (current != null
        && version.service().equals(current.service())
        && version.version().equals(current.to())) {
      takenBack = true;
    }
  }

  private void onTick(RolloutEvent.Tick tick, List<RolloutDecision> decisions) {
    if (leaseHeld && readPending) {
      // The last read may have been lost or may have failed; reading again is harmless.
      decisions.add(new RolloutDecision.ReadRow());
    }
    RolloutRow current = row;
    if (current == null) {
      return;
    }
    takeBackIfRejected(current, tick.result(), decisions);
    if (!leaseHeld || readPending || pendingWrite != null) {
      return;
    }
    RolloutRow next = nextRow(current, tick);
    if (next != null) {
      invariants.checkTransition(current, next);
      pendingWrite = next;
      decisions.add(new RolloutDecision.WriteRow(next, revision));
    }
  }

  private void takeBackIfRejected(
      RolloutRow current, AnalysisResult result, List<RolloutDecision> decisions) {
    if (result.rejected() && !takenBack && !oldVersionGone) {
      takenBack = true;
      pendingReason = result.reason();
      TakenBackVersion version = new TakenBackVersion(current.service(), current.to());
      decisions.add(new RolloutDecision.TakeBack(version, result.reason()));
    }
  }

  private @Nullable RolloutRow nextRow(RolloutRow current, RolloutEvent.Tick tick) {
    if (takenBack) {
      return takeBackRow(current, tick.now());
    }
    RolloutRow decided = nextStep(current, tick);
    return decided == null ? claimRow(current) : decided;
  }

  private @Nullable RolloutRow nextStep(RolloutRow current, RolloutEvent.Tick tick) {
    return switch (current.state()) {
      case MOVING -> raiseOrEnd(current, tick);
      case DONE -> grantFullShare(current, tick.now());
      case LATE, TAKEN_BACK -> null;
    };
  }

  // Writing a new revision makes outstanding writes of a paused predecessor fail.
  private @Nullable RolloutRow claimRow(RolloutRow current) {
    boolean canRaise =
        current.state() == RolloutState.MOVING
            || current.state() == RolloutState.DONE && current.share() < 1;
    return canRaise && current.leaseEpoch() < leaseEpoch
        ? current.withState(current.state(), current.reason(), leaseEpoch)
        : null;
  }

  private @Nullable RolloutRow takeBackRow(RolloutRow current, Instant now) {
    if (current.state() == RolloutState.TAKEN_BACK) {
      return null;
    }
    String reason =
        pendingReason.isEmpty() ? "taken back by a judge or an operator" : pendingReason;
    return current.withGrant(RolloutState.TAKEN_BACK, 0, 0, reason, leaseEpoch, now);
  }

  private @Nullable RolloutRow raiseOrEnd(RolloutRow current, RolloutEvent.Tick tick) {
    Instant now = tick.now();
    if (!now.isBefore(current.by())) {
      String reason = pendingReason.isEmpty() ? "steps were delayed" : pendingReason;
      return current.withState(RolloutState.LATE, reason, leaseEpoch);
    }
    RolloutScheduler.Progress progress =
        new RolloutScheduler.Progress(
            current.startedAt(), current.by(), current.updatedAt(), current.share(), targets);
    RolloutScheduler.Advice advice = scheduler.advise(progress, now, tick.result());
    pendingReason = advice.holdReason();
    if (advice.complete()) {
      return current.withState(RolloutState.DONE, "complete", leaseEpoch);
    }
    if (!advice.raise()) {
      return null;
    }
    if (advice.next().targets() > tick.readyTargets()) {
      pendingReason = "only " + tick.readyTargets() + " new targets are ready";
      return null;
    }
    return current.withGrant(
        RolloutState.MOVING, advice.next().share(), advice.next().targets(), "", leaseEpoch, now);
  }

  // The old version keeps a small share while it has targets, so that both can be compared.
  private @Nullable RolloutRow grantFullShare(RolloutRow current, Instant now) {
    if (!oldVersionGone || current.share() >= 1) {
      return null;
    }
    return current.withGrant(
        RolloutState.DONE, 1, current.targets(), "old version is gone", leaseEpoch, now);
  }
}
