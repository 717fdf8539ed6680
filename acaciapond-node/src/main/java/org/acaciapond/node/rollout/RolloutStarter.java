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

/** Decision whether the move in the text starts now, waits, or cannot be met in time. */
final class RolloutStarter {

  private static final String WAITING = "waiting for targets: ";

  private final RolloutScheduler pacer;

  RolloutStarter(RolloutScheduler pacer) {
    this.pacer = pacer;
  }

  /**
   * Announced targets of both versions.
   *
   * @param oldTargets targets of the old version
   * @param newTargets targets of the new version
   */
  record Counts(int oldTargets, int newTargets) {

    /** Fewer new targets could not carry the load that the old ones carry. */
    boolean isEnough() {
      return newTargets > 0 && newTargets * 2 >= oldTargets;
    }
  }

  /** Returns whether the text asks for a move that the known row does not record. */
  boolean isWanted(ServiceConfig config, Optional<RolloutRow> present) {
    RolloutConfig move = config.rollout();
    if (move == null || move.toVersion().equals(config.currentVersion())) {
      return false;
    }
    return present.map(row -> isNew(move, row)).orElse(true);
  }

  private static boolean isNew(RolloutConfig move, RolloutRow row) {
    if (isWaiting(row)) {
      return true;
    }
    boolean same = row.to().equals(move.toVersion());
    return switch (row.state()) {
      case MOVING -> false;
      case LATE -> !row.by().equals(move.by());
      case DONE, TAKEN_BACK -> !same;
    };
  }

  /** A recorded move that has not been granted anything yet may still be waiting for targets. */
  static boolean isWaiting(RolloutRow row) {
    return row.state() == RolloutState.MOVING
        && row.share() == 0
        && row.reason().startsWith(WAITING);
  }

  /** Returns why the move in the text does not start yet although the known row is of another. */
  static Optional<String> obstacle(ServiceConfig config, Optional<RolloutRow> present) {
    RolloutConfig move = config.rollout();
    return present
        .filter(row -> move != null && row.state() == RolloutState.MOVING && !isWaiting(row))
        .filter(row -> move != null && !row.to().equals(move.toVersion()))
        .map(row -> "waiting for the end of the move from " + row.from() + " to " + row.to());
  }

  /** Returns the row to record now, or empty when nothing changes. */
  Optional<RolloutRow> firstRow(
      ServiceConfig config,
      Optional<RolloutRow> present,
      boolean takenBack,
      Counts counts,
      long epoch,
      Instant now) {
    RolloutConfig move = config.rollout();
    if (move == null || !isWanted(config, present)) {
      return Optional.empty();
    }
    RolloutRow before = present.orElse(null);
    if (takenBack) {
      String why = "version " + move.toVersion() + " was taken back; use a new version name";
      return Optional.of(
          row(config, move, before, now, epoch)
              .granted(RolloutState.TAKEN_BACK, 0, 0, why, epoch, now));
    }
    Duration shortest = pacer.shortest(Math.max(1, counts.newTargets()));
    if (now.plus(shortest).isAfter(move.by())) {
      String why = "the set time leaves less than the " + shortest.toSeconds() + " s needed";
      if (before != null && isWaiting(before) && before.to().equals(move.toVersion())) {
        why += "; " + before.reason();
      }
      return Optional.of(row(config, move, before, now, epoch).in(RolloutState.LATE, why, epoch));
    }
    if (counts.isEnough()) {
      return Optional.of(row(config, move, before, now, epoch));
    }
    return waiting(config, move, before, counts, epoch, now);
  }

  private static Optional<RolloutRow> waiting(
      ServiceConfig config,
      RolloutConfig move,
      @Nullable RolloutRow before,
      Counts counts,
      long epoch,
      Instant now) {
    String why = WAITING + counts.newTargets() + " new beside " + counts.oldTargets();
    if (before != null && isWaiting(before) && before.reason().equals(why)) {
      return Optional.empty();
    }
    return Optional.of(row(config, move, before, now, epoch).in(RolloutState.MOVING, why, epoch));
  }

  /** A late move of the same version goes on from its share; any other starts from nothing. */
  private static RolloutRow row(
      ServiceConfig config,
      RolloutConfig move,
      @Nullable RolloutRow before,
      Instant now,
      long epoch) {
    // The first row takes the share of another move's version away, so it is a grant of its own.
    long lastGrant = before == null ? 0 : before.grantNumber() + 1;
    String from = config.currentVersion();
    RolloutRow started =
        RolloutRow.started(config.name(), from, move.toVersion(), lastGrant, now, move.by());
    if (before == null
        || before.state() != RolloutState.LATE
        || !before.to().equals(move.toVersion())) {
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
        move.by(),
        now);
  }
}
