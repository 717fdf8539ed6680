package org.acaciapond.node.rollout;

import java.util.Optional;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.config.model.ServiceConfig;
import org.acaciapond.membership.GossipStore;
import org.acaciapond.membership.MembershipView;
import org.acaciapond.node.rollout.RolloutGossip.RecordedRow;
import org.acaciapond.rollout.evidence.EvidenceSummary;
import org.acaciapond.rollout.schedule.RolloutScheduler;
import org.acaciapond.rollout.schedule.ScheduleSettings;
import org.acaciapond.rollout.state.RolloutInvariants;
import org.acaciapond.rollout.state.RolloutRow;
import org.acaciapond.rollout.state.RolloutState;
import org.acaciapond.rollout.state.TakenBackVersion;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Rollout of the service of this node while the node is one of its judges.
 *
 * <p>Every judge weighs evidence and may take a version back. Only the one that holds the lease
 * starts moves and raises shares. Confined to one event loop.
 */
final class LocalRollout {

  private static final Logger LOG = LogManager.getLogger(LocalRollout.class);

  private final RolloutContext context;
  private final RolloutScheduler pacer = new RolloutScheduler(ScheduleSettings.DEFAULTS);
  private final RolloutStarter starter = new RolloutStarter(pacer);
  private final RolloutCreation opening;
  private @Nullable ActiveRollout watched;
  private volatile String obstacle = "";

  LocalRollout(
      String service,
      TimeSource time,
      MembershipView members,
      RolloutRegistry book,
      GossipStore gossip,
      RolloutInvariants invariants,
      RolloutTable table) {
    this.context = new RolloutContext(service, time, members, book, gossip, invariants, table);
    this.opening = new RolloutCreation(context, starter);
  }

  /** Weighs a summary; one that was seen before changes nothing. */
  void onEvidence(EvidenceSummary summary) {
    ActiveRollout current = watched;
    if (current != null) {
      current.onEvidence(summary);
    }
  }

  /** Advances the rollout; called each second while this node is a judge. */
  void tick(@Nullable ServiceConfig config) {
    Optional<RecordedRow> recorded = context.book().row(context.service());
    recorded.ifPresent(this::follow);
    Optional<RolloutRow> row = recorded.map(RecordedRow::row);
    Optional<ServiceConfig> unstarted =
        Optional.ofNullable(config).filter(present -> starter.isWanted(present, row));
    noteObstacle(config, row);
    context.table().keepLease(row.map(this::needsPacer).orElse(false) || unstarted.isPresent());
    if (context.table().leaseEpoch().isPresent()) {
      unstarted.ifPresent(opening::open);
    }
    ActiveRollout current = watched;
    if (current != null) {
      current.advance();
    }
  }

  /** Gives up the role of a judge. */
  void resign() {
    watched = null;
    obstacle = "";
    context.table().keepLease(false);
  }

  /** Returns why the move in the text has not started, empty when nothing holds it up. */
  String obstacle() {
    return obstacle;
  }

  private void noteObstacle(@Nullable ServiceConfig config, Optional<RolloutRow> row) {
    String found =
        Optional.ofNullable(config)
            .flatMap(present -> RolloutStarter.obstacle(present, row))
            .orElse("");
    if (!found.isEmpty() && !found.equals(obstacle)) {
      LOG.info("Move of {}: {}", context.service(), found);
    }
    obstacle = found;
  }

  private boolean needsPacer(RolloutRow row) {
    boolean unrecorded = row.state() != RolloutState.TAKEN_BACK && context.isTakenBack(row.to());
    boolean open = row.state() == RolloutState.MOVING;
    boolean comparing = row.state() == RolloutState.DONE && row.share() < 1;
    return unrecorded || open || comparing;
  }

  private void follow(RecordedRow recorded) {
    RolloutRow row = recorded.row();
    if (row.state() == RolloutState.TAKEN_BACK) {
      // The judge that proved the fault may have died before its fact spread.
      context.takeBack(new TakenBackVersion(row.service(), row.to()), row.reason());
    }
    ActiveRollout current = watched;
    if (current == null || !current.covers(row)) {
      // A move that waits for targets must not be paced: too few of them would be overloaded.
      boolean idle = row.state() == RolloutState.TAKEN_BACK || RolloutStarter.isWaiting(row);
      current = idle ? null : new ActiveRollout(context, pacer, row);
      watched = current;
    }
    if (current != null) {
      current.onRow(recorded);
    }
  }
}
