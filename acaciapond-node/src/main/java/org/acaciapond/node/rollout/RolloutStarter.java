package org.acaciapond.node.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.acaciapond.config.model.RolloutConfig;
import org.acaciapond.config.model.ServiceConfig;
import org.acaciapond.rollout.schedule.RolloutScheduler;
import org.acaciapond.rollout.state.RolloutRow;
import org.acaciapond.rollout.state.RolloutState;
import org.jspecify.annotations.Nullable;

/** Rules by which a configured rollout starts now, waits, or cannot meet its deadline. */
final class RolloutStarter {

  private static final String WAITING = "waiting for targets: ";

  private final RolloutScheduler scheduler;

  RolloutStarter(RolloutScheduler scheduler) {
    this.scheduler = scheduler;
  }

  /**
   * Numbers of announced targets of both versions.
   *
   * @param oldTargets targets of the old version
   * @param newTargets targets of the new version
   */
  record Counts(int oldTargets, int newTargets) {

    /**
     * Returns whether there are at least half as many new targets as old ones, to carry their load.
     */
    boolean isSufficient() {
      return newTargets > 0 && newTargets * 2 >= oldTargets;
    }
  }

  /** Returns whether the configuration requests a rollout that the known row does not record. */
  boolean isRequested(ServiceConfig config, Optional<RolloutRow> known) {
    RolloutConfig rollout = config.rollout();
    if (rollout == null || rollout.toVersion().equals(config.currentVersion())) {
      return false;
    }
    return known.map(row -> isNew(rollout, row)).orElse(true);
  }

  private static boolean isNew(RolloutConfig rollout, RolloutRow row) {
    if (isWaiting(row)) {
      return true;
    }
    boolean sameVersion = row.to().equals(rollout.toVersion());
    return switch (row.state()) {
      case MOVING -> false;
      case LATE -> !row.by().equals(rollout.by());
      case DONE, TAKEN_BACK -> !sameVersion;
    };
  }

  /** Returns whether a recorded rollout has no share yet because it waits for targets. */
  static boolean isWaiting(RolloutRow row) {
    return row.state() == RolloutState.MOVING
        && row.share() == 0
        && row.reason().startsWith(WAITING);
  }

  /** Returns why the configured rollout cannot start yet if the known row records another one. */
  static Optional<String> findWaitReason(ServiceConfig config, Optional<RolloutRow> known) {
    RolloutConfig rollout = config.rollout();
    return known
        .filter(row -> rollout != null && row.state() == RolloutState.MOVING && !isWaiting(row))
        .filter(row -> rollout != null && !row.to().equals(rollout.toVersion()))
        .map(row -> "waiting for the end of the move from " + row.from() + " to " + row.to());
  }

  /** Returns the row to record now, or empty if nothing changes. */
  Optional<RolloutRow> firstRow(
      ServiceConfig config,
      Optional<RolloutRow> known,
      boolean takenBack,
      Counts counts,
      long epoch,
      Instant now) {
    RolloutConfig rollout = config.rollout();
    if (rollout == null || !isRequested(config, known)) {
      return Optional.empty();
    }
    RolloutRow before = known.orElse(null);
    if (takenBack) {
      String reason = "version " + rollout.toVersion() + " was taken back; use a new version name";
      return Optional.of(
          newRow(config, rollout, before, now, epoch)
              .withGrant(RolloutState.TAKEN_BACK, 0, 0, reason, epoch, now));
    }
    Duration minDuration = scheduler.minDuration(Math.max(1, counts.newTargets()));
    if (now.plus(minDuration).isAfter(rollout.by())) {
      String reason = "the set time leaves less than the " + minDuration.toSeconds() + " s needed";
      if (before != null && isWaiting(before) && before.to().equals(rollout.toVersion())) {
        reason += "; " + before.reason();
      }
      return Optional.of(
          newRow(config, rollout, before, now, epoch).withState(RolloutState.LATE, reason, epoch));
    }
    if (counts.isSufficient()) {
      return Optional.of(newRow(config, rollout, before, now, epoch));
    }
    return waitingRow(config, rollout, before, counts, epoch, now);
  }

  private static Optional<RolloutRow> waitingRow(
      ServiceConfig config,
      RolloutConfig rollout,
      @Nullable RolloutRow before,
      Counts counts,
      long epoch,
      Instant now) {
    String reason = WAITING + counts.newTargets() + " new beside " + counts.oldTargets();
    if (before != null && isWaiting(before) && before.reason().equals(reason)) {
      return Optional.empty();
    }
    return Optional.of(
        newRow(config, rollout, before, now, epoch).withState(RolloutState.MOVING, reason, epoch));
  }

  /** Continues a late rollout of the same version from its share; any other starts at zero. */
  private static RolloutRow newRow(
      ServiceConfig config,
      RolloutConfig rollout,
      @Nullable RolloutRow before,
      Instant now,
      long epoch) {
    // The first row withdraws the share of the version of a previous rollout, so it is a new grant.
    long lastGrant = before == null ? 0 : before.grantNumber() + 1;
    String from = config.currentVersion();
    RolloutRow started =
        RolloutRow.started(config.name(), from, rollout.toVersion(), lastGrant, now, rollout.by());
    if (before == null
        || before.state() != RolloutState.LATE
        || !before.to().equals(rollout.toVersion())) {
      return started;
    }
    return new RolloutRow(
        config.name(),
        before.from(),
        before.to(),
        RolloutState.MOVING,
        before.share(),
        before.targets(),
        before.grantNumber(),
        epoch,
        "continued with a later set time",
        now,
        rollout.by(),
        now);
  }
}
