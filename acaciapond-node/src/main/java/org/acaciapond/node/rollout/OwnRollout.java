package org.acaciapond.node.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.config.model.MoveConfig;
import org.acaciapond.config.model.ServiceConfig;
import org.acaciapond.membership.GossipStore;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MembershipView;
import org.acaciapond.node.rollout.RolloutGossip.RecordedRow;
import org.acaciapond.rollout.evidence.EvidenceInbox;
import org.acaciapond.rollout.evidence.EvidenceSummary;
import org.acaciapond.rollout.judgement.JudgeSettings;
import org.acaciapond.rollout.judgement.RolloutJudge;
import org.acaciapond.rollout.judgement.Verdict;
import org.acaciapond.rollout.pace.PaceSettings;
import org.acaciapond.rollout.pace.RolloutPacer;
import org.acaciapond.rollout.state.Decision;
import org.acaciapond.rollout.state.RolloutController;
import org.acaciapond.rollout.state.RolloutEvent;
import org.acaciapond.rollout.state.RolloutInvariants;
import org.acaciapond.rollout.state.RolloutRow;
import org.acaciapond.rollout.state.RolloutState;
import org.acaciapond.rollout.state.TakenBack;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Rollout of the service of this node while the node is one of its judges.
 *
 * <p>Every judge weighs evidence and may take a version back. Only the one that holds the lease
 * starts moves and raises shares. Confined to one event loop.
 */
final class OwnRollout {

  private static final Logger LOG = LogManager.getLogger(OwnRollout.class);
  private static final int MAX_WITNESSES = 4_096;

  private final String service;
  private final TimeSource time;
  private final MembershipView members;
  private final RolloutBook book;
  private final GossipStore gossip;
  private final RolloutInvariants invariants;
  private final RolloutTable table;
  private final RolloutPacer pacer = new RolloutPacer(PaceSettings.DEFAULTS);
  private final MoveStarter starter = new MoveStarter(pacer);
  private EvidenceInbox inbox = new EvidenceInbox(MAX_WITNESSES);
  private @Nullable Watched watched;
  private boolean starting;

  /** Judge and controller of one move; the controller is rebuilt when the target count changes. */
  private static final class Watched {

    final RolloutRow first;
    final RolloutJudge judge;
    RolloutController controller;
    int targets;
    long revision;
    boolean leased;
    boolean readDue;

    Watched(RolloutRow first, RolloutJudge judge, RolloutController controller, int targets) {
      this.first = first;
      this.judge = judge;
      this.controller = controller;
      this.targets = targets;
    }

    boolean covers(RolloutRow row) {
      return first.to().equals(row.to()) && first.startedAt().equals(row.startedAt());
    }
  }

  OwnRollout(
      String service,
      TimeSource time,
      MembershipView members,
      RolloutBook book,
      GossipStore gossip,
      RolloutInvariants invariants,
      RolloutTable table) {
    this.service = service;
    this.time = time;
    this.members = members;
    this.book = book;
    this.gossip = gossip;
    this.invariants = invariants;
    this.table = table;
  }

  /** Weighs a summary; one that was seen before changes nothing. */
  void onEvidence(EvidenceSummary summary) {
    Watched current = watched;
    if (current != null && inbox.accept(summary)) {
      current.judge.accept(summary);
    }
  }

  /** Advances the rollout; called each second while this node is a judge. */
  void tick(@Nullable ServiceConfig config) {
    Optional<RecordedRow> recorded = book.row(service);
    recorded.ifPresent(this::follow);
    Optional<ServiceConfig> unstarted =
        Optional.ofNullable(config)
            .filter(present -> starter.isWanted(present, recorded.map(RecordedRow::row)));
    boolean open = recorded.map(r -> needsPacer(r.row())).orElse(false);
    table.keepLease(open || unstarted.isPresent());
    if (table.leaseEpoch().isPresent()) {
      unstarted.ifPresent(this::start);
    }
    advance();
  }

  /** Gives up the role of a judge. */
  void resign() {
    watched = null;
    inbox = new EvidenceInbox(MAX_WITNESSES);
    table.keepLease(false);
  }

  private boolean needsPacer(RolloutRow row) {
    boolean unrecorded =
        row.state() != RolloutState.TAKEN_BACK && book.takenBack(service).contains(row.to());
    boolean open = row.state() == RolloutState.MOVING;
    boolean comparing = row.state() == RolloutState.DONE && row.share() < 1;
    return unrecorded || open || comparing;
  }

  private void follow(RecordedRow recorded) {
    RolloutRow row = recorded.row();
    Watched current = watched;
    if (current == null || !current.covers(row)) {
      if (row.state() == RolloutState.TAKEN_BACK) {
        return;
      }
      current = newWatched(row);
      watched = current;
      inbox = new EvidenceInbox(MAX_WITNESSES);
    }
    if (recorded.revision() > current.revision) {
      current.revision = recorded.revision();
      handle(current, new RolloutEvent.RowRead(row, recorded.revision()));
    }
  }

  private Watched newWatched(RolloutRow row) {
    int intervals = (int) Math.max(1, Duration.between(row.startedAt(), row.by()).toSeconds());
    RolloutJudge judge =
        new RolloutJudge(JudgeSettings.defaults(intervals), service, row.from(), row.to());
    int targets = Math.max(1, countTargets(row.to()));
    return new Watched(row, judge, new RolloutController(pacer, invariants, targets), targets);
  }

  private int countTargets(String version) {
    int count = 0;
    for (Member member : members.members()) {
      if (member.service().equals(service)
          && member.targetVersion().equals(version)
          && member.state().acceptsWork()) {
        count++;
      }
    }
    return count;
  }

  private void start(ServiceConfig config) {
    if (starting) {
      return;
    }
    starting = true;
    table
        .readRow()
        .subscribe()
        .with(
            row -> table.run(() -> startAfter(config, row)),
            error -> table.run(() -> starting = false));
  }

  private void startAfter(ServiceConfig config, Optional<RecordedRow> present) {
    MoveConfig move = config.move();
    Optional<Long> epoch = table.leaseEpoch();
    if (move == null || epoch.isEmpty()) {
      starting = false;
      return;
    }
    MoveStarter.Counts counts =
        new MoveStarter.Counts(
            countTargets(config.currentVersion()), countTargets(move.toVersion()));
    Optional<RolloutRow> first =
        starter.firstRow(
            config,
            present.map(RecordedRow::row),
            book.takenBack(service).contains(move.toVersion()),
            counts,
            epoch.get(),
            time.now());
    if (first.isEmpty()) {
      // The row in the table is newer than the one that gossip has brought so far.
      present.ifPresent(recorded -> gossip.publish(RolloutGossip.grantEntry(recorded)));
      starting = false;
      return;
    }
    long revision = present.map(RecordedRow::revision).orElse(0L);
    table
        .writeRow(first.get(), revision)
        .subscribe()
        .with(applied -> table.run(() -> onStarted(first.get(), applied)));
  }

  private void onStarted(RolloutRow row, Optional<Long> revision) {
    starting = false;
    if (revision.isPresent()) {
      LOG.info("Rollout of {} to {}: {} ({})", service, row.to(), row.state(), row.reason());
      gossip.publish(RolloutGossip.grantEntry(new RecordedRow(row, revision.get())));
    }
  }

  private void advance() {
    Watched current = watched;
    if (current == null) {
      return;
    }
    rebuildIfResized(current);
    passLease(current);
    if (book.takenBack(service).contains(current.first.to())) {
      handle(current, new RolloutEvent.FactSeen(new TakenBack(service, current.first.to())));
    }
    RolloutRow row = current.controller.row();
    if (row != null && row.state() == RolloutState.DONE && countTargets(row.from()) == 0) {
      handle(current, new RolloutEvent.OldGone());
    }
    if (current.readDue) {
      carryOut(current, new Decision.ReadRow());
    }
    Instant now = time.now();
    Verdict verdict = current.judge.verdict();
    handle(current, new RolloutEvent.Tick(now, verdict, countTargets(current.first.to())));
  }

  /** The steps of a move depend on the number of new targets, which may still grow or shrink. */
  private void rebuildIfResized(Watched current) {
    int targets = countTargets(current.first.to());
    RolloutRow row = current.controller.row();
    if (targets == 0 || targets == current.targets || row == null) {
      return;
    }
    current.targets = targets;
    current.controller = new RolloutController(pacer, invariants, targets);
    current.leased = false;
    handle(current, new RolloutEvent.RowRead(row, current.revision));
  }

  private void passLease(Watched current) {
    Optional<Long> epoch = table.leaseEpoch();
    if (epoch.isPresent()) {
      current.leased = true;
      handle(current, new RolloutEvent.LeaseHeld(epoch.get()));
    } else if (current.leased) {
      current.leased = false;
      handle(current, new RolloutEvent.LeaseLost());
    }
  }

  private void handle(Watched current, RolloutEvent event) {
    List<Decision> decisions = current.controller.handle(event);
    decisions.forEach(decision -> carryOut(current, decision));
  }

  private void carryOut(Watched current, Decision decision) {
    if (decision instanceof Decision.ReadRow) {
      read(current);
    } else if (decision instanceof Decision.WriteRow write) {
      write(current, write);
    } else if (decision instanceof Decision.TakeBack takeBack) {
      takeBack(takeBack);
    } else if (decision instanceof Decision.Announce) {
      RolloutRow row = current.controller.row();
      if (row != null) {
        gossip.publish(RolloutGossip.grantEntry(new RecordedRow(row, current.revision)));
      }
    }
  }

  private void read(Watched current) {
    current.readDue = false;
    RolloutController asked = current.controller;
    table
        .readRow()
        .subscribe()
        .with(
            row ->
                table.run(
                    () -> {
                      if (asked == current.controller) {
                        row.ifPresent(recorded -> onRead(current, recorded));
                      }
                    }),
            error -> table.run(() -> current.readDue = true));
  }

  private void onRead(Watched current, RecordedRow recorded) {
    if (current.covers(recorded.row())) {
      current.revision = Math.max(current.revision, recorded.revision());
      handle(current, new RolloutEvent.RowRead(recorded.row(), recorded.revision()));
    } else {
      gossip.publish(RolloutGossip.grantEntry(recorded));
    }
  }

  private void write(Watched current, Decision.WriteRow write) {
    RolloutController asked = current.controller;
    table
        .writeRow(write.row(), write.expectedRevision())
        .subscribe()
        .with(
            applied ->
                table.run(
                    () -> {
                      if (asked == current.controller) {
                        onWritten(current, write.row(), applied);
                      } else {
                        current.readDue = true;
                      }
                    }));
  }

  private void onWritten(Watched current, RolloutRow row, Optional<Long> revision) {
    if (revision.isEmpty()) {
      handle(current, new RolloutEvent.WriteFailed());
      return;
    }
    current.revision = revision.get();
    LOG.info(
        "Rollout of {} to {}: {}, share {} on {} targets ({})",
        service,
        row.to(),
        row.state(),
        row.share(),
        row.targets(),
        row.reason());
    handle(current, new RolloutEvent.WriteApplied(revision.get()));
    // A change of state without a new grant is announced too, so that every status shows it.
    gossip.publish(RolloutGossip.grantEntry(new RecordedRow(row, revision.get())));
  }

  private void takeBack(Decision.TakeBack takeBack) {
    String key = RolloutGossip.factKey(takeBack.fact());
    byte[] value =
        RolloutGossip.encodeFact(
            "judge " + members.self().hostId(), time.now().toString(), takeBack.reason());
    if (gossip.publish(RolloutGossip.factEntry(key, value))) {
      LOG.warn(
          "Taking back version {} of {}: {}",
          takeBack.fact().version(),
          service,
          takeBack.reason());
      table.writeFact(key, value);
    }
  }
}
