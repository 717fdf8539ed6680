package org.acaciapond.rollout.state;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.acaciapond.rollout.analysis.AnalysisResult;
import org.acaciapond.rollout.schedule.RolloutScheduler;
import org.jspecify.annotations.Nullable;

/**
 * Rollout of one service: events in, decisions out. The recorded row is the only state that
 * outlives the controller; a successor reads it and goes on.
 */
public final class RolloutController {

  private final RolloutScheduler pacer;
  private final RolloutInvariants invariants;
  private int targets;
  private @Nullable RolloutRow row;
  private @Nullable RolloutRow pending;
  private long revision;
  private long epoch;
  private boolean leased;
  private boolean reading;
  private boolean takenBack;
  private boolean oldGone;
  private String obstacle = "";

  /** Creates a controller of a service whose new version has the given number of targets. */
  public RolloutController(RolloutScheduler pacer, RolloutInvariants invariants, int targets) {
    this.pacer = pacer;
    this.invariants = invariants;
    this.targets = targets;
  }

  /** Handles an event and returns what to do, in order. */
  public List<RolloutDecision> handle(RolloutEvent event) {
    List<RolloutDecision> decisions = new ArrayList<>();
    if (event instanceof RolloutEvent.Tick tick) {
      onTick(tick, decisions);
    } else if (event instanceof RolloutEvent.LeaseHeld held) {
      onLease(held, decisions);
    } else if (event instanceof RolloutEvent.LeaseLost) {
      leased = false;
    } else if (event instanceof RolloutEvent.RowRead read) {
      onRow(read, decisions);
    } else if (event instanceof RolloutEvent.WriteApplied applied) {
      onApplied(applied, decisions);
    } else if (event instanceof RolloutEvent.WriteFailed) {
      readAgain(decisions);
    } else if (event instanceof RolloutEvent.FactSeen seen) {
      onFact(seen.fact());
    } else if (event instanceof RolloutEvent.OldTargets old) {
      oldGone = old.count() == 0;
    } else if (event instanceof RolloutEvent.NewTargets changed) {
      targets = changed.count();
    }
    return decisions;
  }

  /** Returns the row last known to be recorded. */
  public @Nullable RolloutRow row() {
    return row;
  }

  private void onLease(RolloutEvent.LeaseHeld held, List<RolloutDecision> decisions) {
    boolean fresh = !leased || held.epoch() > epoch;
    leased = true;
    epoch = held.epoch();
    if (fresh) {
      readAgain(decisions);
    }
  }

  private void readAgain(List<RolloutDecision> decisions) {
    pending = null;
    reading = true;
    decisions.add(new RolloutDecision.ReadRow());
  }

  private void onRow(RolloutEvent.RowRead read, List<RolloutDecision> decisions) {
    RolloutRow known = row;
    reading = false;
    boolean older = known != null && read.revision() < revision;
    // A slow read that shows the row from before the outstanding write says nothing about its fate.
    boolean overtaken = pending != null && read.revision() == revision;
    if (older || overtaken) {
      return;
    }
    row = read.row();
    revision = read.revision();
    pending = null;
    if (row.state() == RolloutState.TAKEN_BACK) {
      takenBack = true;
      // The judge that proved the fault may have died before its fact spread.
      TakenBackVersion fact = new TakenBackVersion(row.service(), row.to());
      decisions.add(new RolloutDecision.TakeBack(fact, row.reason()));
    }
    announce(row, decisions);
  }

  private void onApplied(RolloutEvent.WriteApplied applied, List<RolloutDecision> decisions) {
    RolloutRow written = pending;
    if (written == null) {
      return;
    }
    RolloutRow before = row;
    if (before != null) {
      invariants.follows(before, written);
    }
    row = written;
    revision = applied.revision();
    pending = null;
    announce(written, decisions);
  }

  // Grants are idempotent by number, so a successor announces the recorded one again.
  private void announce(RolloutRow recorded, List<RolloutDecision> decisions) {
    invariants.announced(recorded.grant(), recorded);
    if (recorded.grantNumber() > 0) {
      decisions.add(new RolloutDecision.Announce(recorded.grant()));
    }
  }

  private void onFact(TakenBackVersion fact) {
    RolloutRow present = row;
    if (present != null
        && fact.service().equals(present.service())
        && fact.version().equals(present.to())) {
      takenBack = true;
    }
  }

  private void onTick(RolloutEvent.Tick tick, List<RolloutDecision> decisions) {
    if (leased && reading) {
      // The last read was lost or failed; reading again is harmless.
      decisions.add(new RolloutDecision.ReadRow());
    }
    RolloutRow present = row;
    if (present == null) {
      return;
    }
    judge(present, tick.verdict(), decisions);
    if (!leased || reading || pending != null) {
      return;
    }
    RolloutRow next = next(present, tick);
    if (next != null) {
      invariants.follows(present, next);
      pending = next;
      decisions.add(new RolloutDecision.WriteRow(next, revision));
    }
  }

  private void judge(RolloutRow present, AnalysisResult verdict, List<RolloutDecision> decisions) {
    if (verdict.condemned() && !takenBack && !oldGone) {
      takenBack = true;
      obstacle = verdict.reason();
      TakenBackVersion fact = new TakenBackVersion(present.service(), present.to());
      decisions.add(new RolloutDecision.TakeBack(fact, verdict.reason()));
    }
  }

  private @Nullable RolloutRow next(RolloutRow present, RolloutEvent.Tick tick) {
    if (takenBack) {
      return takeBackRow(present, tick.now());
    }
    RolloutRow decided = step(present, tick);
    return decided == null ? claim(present) : decided;
  }

  private @Nullable RolloutRow step(RolloutRow present, RolloutEvent.Tick tick) {
    return switch (present.state()) {
      case MOVING -> move(present, tick);
      case DONE -> release(present, tick.now());
      case LATE, TAKEN_BACK -> null;
    };
  }

  // A new revision makes writes fail that a paused predecessor may still have under way.
  private @Nullable RolloutRow claim(RolloutRow present) {
    boolean raisable =
        present.state() == RolloutState.MOVING
            || present.state() == RolloutState.DONE && present.share() < 1;
    return raisable && present.leaseEpoch() < epoch
        ? present.in(present.state(), present.reason(), epoch)
        : null;
  }

  private @Nullable RolloutRow takeBackRow(RolloutRow present, Instant now) {
    if (present.state() == RolloutState.TAKEN_BACK) {
      return null;
    }
    String why = obstacle.isEmpty() ? "taken back by a judge or an operator" : obstacle;
    return present.granted(RolloutState.TAKEN_BACK, 0, 0, why, epoch, now);
  }

  private @Nullable RolloutRow move(RolloutRow present, RolloutEvent.Tick tick) {
    Instant now = tick.now();
    if (!now.isBefore(present.by())) {
      String why = obstacle.isEmpty() ? "steps were delayed" : obstacle;
      return present.in(RolloutState.LATE, why, epoch);
    }
    RolloutScheduler.Position position =
        new RolloutScheduler.Position(
            present.startedAt(), present.by(), present.updatedAt(), present.share(), targets);
    RolloutScheduler.Advice advice = pacer.advise(position, now, tick.verdict());
    obstacle = advice.obstacle();
    if (advice.complete()) {
      return present.in(RolloutState.DONE, "complete", epoch);
    }
    if (!advice.raise()) {
      return null;
    }
    if (advice.next().targets() > tick.readyTargets()) {
      obstacle = "only " + tick.readyTargets() + " new targets are ready";
      return null;
    }
    return present.granted(
        RolloutState.MOVING, advice.next().share(), advice.next().targets(), "", epoch, now);
  }

  // The old version keeps a small share while it stands, so that both can still be compared.
  private @Nullable RolloutRow release(RolloutRow present, Instant now) {
    if (!oldGone || present.share() >= 1) {
      return null;
    }
    return present.granted(
        RolloutState.DONE, 1, present.targets(), "old version is gone", epoch, now);
  }
}
