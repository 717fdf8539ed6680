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

/** Analyzer and controller of one rollout; executes the decisions of the controller. */
final class ActiveRollout {

  private static final Logger LOG = LogManager.getLogger(ActiveRollout.class);
  private static final int MAX_REPORTERS = 4_096;

  /**
   * Time without targets after which the old version counts as gone. A node that joins or is cut
   * off sees no targets for a while; this time is longer than a suspicion and a rejoin together.
   */
  private static final Duration OLD_VERSION_GONE_AFTER = Duration.ofSeconds(15);

  private final RolloutContext context;
  private final RolloutRow initialRow;
  private final EvidenceInbox inbox = new EvidenceInbox(MAX_REPORTERS);
  private final CanaryAnalyzer analyzer;
  private final RolloutController controller;
  private long revision;
  private long oldTargetsSeenNanos;
  private boolean leaseHeld;
  private boolean readPending;
  private RolloutDecision.@Nullable WriteRow pendingWrite;

  ActiveRollout(RolloutContext context, RolloutScheduler scheduler, RolloutRow initialRow) {
    this.context = context;
    this.initialRow = initialRow;
    int intervals =
        (int) Math.max(1, Duration.between(initialRow.startedAt(), initialRow.by()).toSeconds());
    this.analyzer =
        new CanaryAnalyzer(
            AnalysisSettings.defaults(intervals),
            context.service(),
            initialRow.from(),
            initialRow.to());
    int targets = Math.max(1, context.countTargets(initialRow.to()));
    this.controller = new RolloutController(scheduler, context.invariants(), targets);
    this.oldTargetsSeenNanos = context.time().nanoTime();
  }

  /** Returns whether a row records this rollout. */
  boolean isSameRollout(RolloutRow row) {
    return initialRow.to().equals(row.to()) && initialRow.startedAt().equals(row.startedAt());
  }

  /** Adds a summary to the analysis; duplicates are ignored. */
  void onEvidence(EvidenceSummary summary) {
    if (inbox.accept(summary)) {
      analyzer.accept(summary);
    }
  }

  /** Handles a recorded row of this rollout unless a newer one is known. */
  void onRecordedRow(RecordedRow recorded) {
    if (recorded.revision() > revision) {
      revision = recorded.revision();
      handle(new RolloutEvent.RowRead(recorded.row(), recorded.revision()));
    }
  }

  /** Analyzes the evidence and, while the lease is held, advances the rollout. */
  void advance() {
    updateTargets();
    updateLease();
    if (context.isTakenBack(initialRow.to())) {
      handle(
          new RolloutEvent.TakeBackSeen(new TakenBackVersion(context.service(), initialRow.to())));
    }
    handle(
        new RolloutEvent.Tick(
            context.time().now(), analyzer.result(), context.countTargets(initialRow.to())));
  }

  private void updateTargets() {
    int newTargets = context.countTargets(initialRow.to());
    if (newTargets > 0) {
      handle(new RolloutEvent.NewTargetsCounted(newTargets));
    }
    RolloutRow row = controller.row();
    int oldTargets = context.countTargets(initialRow.from());
    long nowNanos = context.time().nanoTime();
    boolean done = row != null && row.state() == RolloutState.DONE;
    if (oldTargets > 0 || !done) {
      oldTargetsSeenNanos = nowNanos;
      handle(new RolloutEvent.OldTargetsCounted(Math.max(1, oldTargets)));
    } else if (nowNanos - oldTargetsSeenNanos >= OLD_VERSION_GONE_AFTER.toNanos()) {
      handle(new RolloutEvent.OldTargetsCounted(0));
    }
  }

  private void updateLease() {
    Optional<Long> epoch = context.table().leaseEpoch();
    if (epoch.isPresent()) {
      leaseHeld = true;
      handle(new RolloutEvent.LeaseHeld(epoch.get()));
    } else if (leaseHeld) {
      leaseHeld = false;
      handle(new RolloutEvent.LeaseLost());
    }
  }

  private void handle(RolloutEvent event) {
    controller.handle(event).forEach(this::execute);
  }

  private void execute(RolloutDecision decision) {
    if (decision instanceof RolloutDecision.ReadRow) {
      requestRow();
    } else if (decision instanceof RolloutDecision.WriteRow write) {
      requestWrite(write);
    } else if (decision instanceof RolloutDecision.TakeBack takeBack) {
      context.takeBack(takeBack.version(), takeBack.reason());
    } else if (decision instanceof RolloutDecision.Announce) {
      RolloutRow row = controller.row();
      if (row != null) {
        context.announce(new RecordedRow(row, revision));
      }
    }
  }

  /** Reads the row; the controller asks again each second until it has been read. */
  private void requestRow() {
    if (readPending) {
      return;
    }
    readPending = true;
    context
        .table()
        .readRow()
        .subscribe()
        .with(
            row -> context.table().run(() -> onRead(row)),
            error -> context.table().run(() -> readPending = false));
  }

  private void onRead(Optional<RecordedRow> row) {
    readPending = false;
    if (row.isEmpty()) {
      return;
    }
    if (isSameRollout(row.get().row())) {
      revision = Math.max(revision, row.get().revision());
      handle(new RolloutEvent.RowRead(row.get().row(), row.get().revision()));
    } else {
      context.announce(row.get());
    }
  }

  private void requestWrite(RolloutDecision.WriteRow write) {
    pendingWrite = write;
    context
        .table()
        .writeRow(write.row(), write.expectedRevision())
        .subscribe()
        .with(applied -> context.table().run(() -> onWritten(write, applied)));
  }

  private void onWritten(RolloutDecision.WriteRow write, Optional<Long> applied) {
    boolean expected = pendingWrite == write;
    if (expected) {
      pendingWrite = null;
    }
    if (applied.isPresent()) {
      onApplied(write.row(), applied.get(), expected);
    } else if (expected) {
      handle(new RolloutEvent.WriteFailed());
    }
  }

  /** Handles a row that was written, also if the controller no longer waits for this write. */
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
      onRecordedRow(recorded);
    }
    // A change of state without a new grant is announced, too, so that every node can show it.
    context.announce(recorded);
  }
}
