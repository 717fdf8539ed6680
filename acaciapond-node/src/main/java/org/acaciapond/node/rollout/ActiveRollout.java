package org.acaciapond.node.rollout;

import java.time.Duration;
import java.util.Optional;
import org.acaciapond.node.rollout.RolloutGossip.RecordedRow;
import org.acaciapond.rollout.analysis.AnalysisSettings;
import org.acaciapond.rollout.analysis.CanaryAnalyzer;
import org.acaciapond.rollout.evidence.EvidenceInbox;
import org.acaciapond.rollout.evidence.EvidenceSummary;
import org.acaciapond.rollout.schedule.RolloutScheduler;
import org.acaciapond.rollout.state.RolloutController;
import org.acaciapond.rollout.state.RolloutDecision;
import org.acaciapond.rollout.state.RolloutEvent;
import org.acaciapond.rollout.state.RolloutRow;
import org.acaciapond.rollout.state.RolloutState;
import org.acaciapond.rollout.state.TakenBackVersion;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/** Judge and controller of one move, and the carrying out of what they decide. */
final class ActiveRollout {

  private static final Logger LOG = LogManager.getLogger(ActiveRollout.class);
  private static final int MAX_WITNESSES = 4_096;

  /**
   * A node that joins, or is cut off, sees no targets for a while. The old version counts as gone
   * only after this time, which is longer than suspicion and a rejoin take.
   */
  private static final Duration GONE_AFTER = Duration.ofSeconds(15);

  private final RolloutContext context;
  private final RolloutRow first;
  private final EvidenceInbox inbox = new EvidenceInbox(MAX_WITNESSES);
  private final CanaryAnalyzer judge;
  private final RolloutController controller;
  private long revision;
  private long oldSeenNanos;
  private boolean leased;
  private boolean reading;
  private RolloutDecision.@Nullable WriteRow outstanding;

  ActiveRollout(RolloutContext context, RolloutScheduler pacer, RolloutRow first) {
    this.context = context;
    this.first = first;
    int intervals = (int) Math.max(1, Duration.between(first.startedAt(), first.by()).toSeconds());
    this.judge =
        new CanaryAnalyzer(
            AnalysisSettings.defaults(intervals), context.service(), first.from(), first.to());
    int targets = Math.max(1, context.countTargets(first.to()));
    this.controller = new RolloutController(pacer, context.invariants(), targets);
    this.oldSeenNanos = context.time().nanoTime();
  }

  /** Returns whether a row records this move rather than another one. */
  boolean covers(RolloutRow row) {
    return first.to().equals(row.to()) && first.startedAt().equals(row.startedAt());
  }

  /** Weighs a summary; one that was seen before changes nothing. */
  void onEvidence(EvidenceSummary summary) {
    if (inbox.accept(summary)) {
      judge.accept(summary);
    }
  }

  /** Takes over a recorded row of this move unless a newer one is known. */
  void onRow(RecordedRow recorded) {
    if (recorded.revision() > revision) {
      revision = recorded.revision();
      handle(new RolloutEvent.RowRead(recorded.row(), recorded.revision()));
    }
  }

  /** Judges the evidence and, while the lease is held, paces the move. */
  void advance() {
    passTargets();
    passLease();
    if (context.isTakenBack(first.to())) {
      handle(new RolloutEvent.FactSeen(new TakenBackVersion(context.service(), first.to())));
    }
    handle(
        new RolloutEvent.Tick(
            context.time().now(), judge.verdict(), context.countTargets(first.to())));
  }

  private void passTargets() {
    int newTargets = context.countTargets(first.to());
    if (newTargets > 0) {
      handle(new RolloutEvent.NewTargets(newTargets));
    }
    RolloutRow row = controller.row();
    int oldTargets = context.countTargets(first.from());
    long nowNanos = context.time().nanoTime();
    boolean done = row != null && row.state() == RolloutState.DONE;
    if (oldTargets > 0 || !done) {
      oldSeenNanos = nowNanos;
      handle(new RolloutEvent.OldTargets(Math.max(1, oldTargets)));
    } else if (nowNanos - oldSeenNanos >= GONE_AFTER.toNanos()) {
      handle(new RolloutEvent.OldTargets(0));
    }
  }

  private void passLease() {
    Optional<Long> epoch = context.table().leaseEpoch();
    if (epoch.isPresent()) {
      leased = true;
      handle(new RolloutEvent.LeaseHeld(epoch.get()));
    } else if (leased) {
      leased = false;
      handle(new RolloutEvent.LeaseLost());
    }
  }

  private void handle(RolloutEvent event) {
    controller.handle(event).forEach(this::carryOut);
  }

  private void carryOut(RolloutDecision decision) {
    if (decision instanceof RolloutDecision.ReadRow) {
      read();
    } else if (decision instanceof RolloutDecision.WriteRow write) {
      write(write);
    } else if (decision instanceof RolloutDecision.TakeBack takeBack) {
      context.takeBack(takeBack.fact(), takeBack.reason());
    } else if (decision instanceof RolloutDecision.Announce) {
      RolloutRow row = controller.row();
      if (row != null) {
        context.announce(new RecordedRow(row, revision));
      }
    }
  }

  /** Reads the row; the controller asks again each second until it has an answer. */
  private void read() {
    if (reading) {
      return;
    }
    reading = true;
    context
        .table()
        .readRow()
        .subscribe()
        .with(
            row -> context.table().run(() -> onRead(row)),
            error -> context.table().run(() -> reading = false));
  }

  private void onRead(Optional<RecordedRow> row) {
    reading = false;
    if (row.isEmpty()) {
      return;
    }
    if (covers(row.get().row())) {
      revision = Math.max(revision, row.get().revision());
      handle(new RolloutEvent.RowRead(row.get().row(), row.get().revision()));
    } else {
      context.announce(row.get());
    }
  }

  private void write(RolloutDecision.WriteRow write) {
    outstanding = write;
    context
        .table()
        .writeRow(write.row(), write.expectedRevision())
        .subscribe()
        .with(applied -> context.table().run(() -> onWritten(write, applied)));
  }

  private void onWritten(RolloutDecision.WriteRow write, Optional<Long> applied) {
    boolean expected = outstanding == write;
    if (expected) {
      outstanding = null;
    }
    if (applied.isPresent()) {
      onApplied(write.row(), applied.get(), expected);
    } else if (expected) {
      handle(new RolloutEvent.WriteFailed());
    }
  }

  /** A write that another one has overtaken is still a fact about the table. */
  private void onApplied(RolloutRow row, long newRevision, boolean expected) {
    LOG.info(
        "Rollout of {} to {}: {}, share {} on {} targets ({})",
        context.service(),
        row.to(),
        row.state(),
        row.share(),
        row.targets(),
        row.reason());
    RecordedRow recorded = new RecordedRow(row, newRevision);
    if (expected && newRevision > revision) {
      revision = newRevision;
      handle(new RolloutEvent.WriteApplied(newRevision));
    } else {
      onRow(recorded);
    }
    // A change of state without a new grant is announced too, so that every status shows it.
    context.announce(recorded);
  }
}
