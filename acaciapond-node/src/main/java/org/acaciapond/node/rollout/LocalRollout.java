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
 * Rollout of the service of this node while the node is one of its analyzers.
 *
 * <p>Every analyzer may take a version back. Only the holder of the lease starts rollouts and
 * raises shares. Confined to one event loop.
 */
final class LocalRollout {

  private static final Logger LOG = LogManager.getLogger(LocalRollout.class);

  private final RolloutContext context;
  private final RolloutScheduler scheduler = new RolloutScheduler(ScheduleSettings.DEFAULTS);
  private final RolloutStarter starter = new RolloutStarter(scheduler);
  private final RolloutCreation creation;
  private @Nullable ActiveRollout active;
  private volatile String waitReason = "";

  LocalRollout(
      String service,
      TimeSource time,
      MembershipView members,
      RolloutRegistry registry,
      GossipStore gossip,
      RolloutInvariants invariants,
      RolloutTable table) {
    this.context = new RolloutContext(service, time, members, registry, gossip, invariants, table);
    this.creation = new RolloutCreation(context, starter);
  }

  /** Adds a summary to the analysis; duplicates are ignored. */
  void onEvidence(EvidenceSummary summary) {
    ActiveRollout current = active;
    if (current != null) {
      current.onEvidence(summary);
    }
  }

  /** Advances the rollout; called each second while this node is an analyzer. */
  void tick(@Nullable ServiceConfig config) {
    Optional<RecordedRow> recorded = context.registry().row(context.service());
    recorded.ifPresent(this::follow);
    Optional<RolloutRow> row = recorded.map(RecordedRow::row);
    Optional<ServiceConfig> unstarted =
        Optional.ofNullable(config).filter(present -> starter.isRequested(present, row));
    updateWaitReason(config, row);
    context.table().updateLease(row.map(this::needsLease).orElse(false) || unstarted.isPresent());
    if (context.table().leaseEpoch().isPresent()) {
      unstarted.ifPresent(creation::createFirstRow);
    }
    ActiveRollout current = active;
    if (current != null) {
      current.advance();
    }
  }

  /** Gives up the role of an analyzer. */
  void resign() {
    active = null;
    waitReason = "";
    context.table().updateLease(false);
  }

  /** Returns why the configured rollout has not started, empty if nothing prevents it. */
  String waitReason() {
    return waitReason;
  }

  private void updateWaitReason(@Nullable ServiceConfig config, Optional<RolloutRow> row) {
    String found =
        Optional.ofNullable(config)
            .flatMap(present -> RolloutStarter.findWaitReason(present, row))
            .orElse("");
    if (!found.isEmpty() && !found.equals(waitReason)) {
      LOG.info("Rollout of {} has not started: {}", context.service(), found);
    }
    waitReason = found;
  }

  private boolean needsLease(RolloutRow row) {
    boolean unrecorded = row.state() != RolloutState.TAKEN_BACK && context.isTakenBack(row.to());
    boolean raising = row.state() == RolloutState.MOVING;
    boolean comparing = row.state() == RolloutState.DONE && row.share() < 1;
    return unrecorded || raising || comparing;
  }

  private void follow(RecordedRow recorded) {
    RolloutRow row = recorded.row();
    if (row.state() == RolloutState.TAKEN_BACK) {
      // The analyzer that rejected the version may have stopped before it spread the take-back.
      context.takeBack(new TakenBackVersion(row.service(), row.to()), row.reason());
    }
    ActiveRollout current = active;
    if (current == null || !current.isSameRollout(row)) {
      // A rollout that waits for targets must not advance: too few of them would be overloaded.
      boolean idle = row.state() == RolloutState.TAKEN_BACK || RolloutStarter.isWaiting(row);
      current = idle ? null : new ActiveRollout(context, scheduler, row);
      active = current;
    }
    if (current != null) {
      current.onRecordedRow(recorded);
    }
  }
}
