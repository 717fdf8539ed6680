package org.acaciapond.rollout.state;

import java.time.Instant;

/**
 * Recorded state of the rollout of a service.
 *
 * @param service service
 * @param from old version
 * @param to new version
 * @param state state of the rollout
 * @param share granted share of calls for the new version
 * @param targets number of new targets that receive the share
 * @param grantNumber number of the grant; never decreases for a service
 * @param leaseEpoch epoch of the lease under which the row was written
 * @param reason reason of the state, in words
 * @param startedAt start of the rollout
 * @param by deadline set by the operator
 * @param updatedAt time of the last change of the share
 */
public record RolloutRow(
    String service,
    String from,
    String to,
    RolloutState state,
    double share,
    int targets,
    long grantNumber,
    long leaseEpoch,
    String reason,
    Instant startedAt,
    Instant by,
    Instant updatedAt) {

  /** Returns the first row of a rollout, with a share of zero. */
  public static RolloutRow started(
      String service, String from, String to, long lastGrant, Instant now, Instant by) {
    return new RolloutRow(
        service, from, to, RolloutState.MOVING, 0, 0, lastGrant, 0, "started", now, by, now);
  }

  /** Returns the row after a change of share, with the next grant number. */
  public RolloutRow withGrant(
      RolloutState next, double newShare, int newTargets, String why, long epoch, Instant now) {
    return new RolloutRow(
        service,
        from,
        to,
        next,
        newShare,
        newTargets,
        grantNumber + 1,
        epoch,
        why,
        startedAt,
        by,
        now);
  }

  /** Returns the row in another state with the same grant. */
  public RolloutRow withState(RolloutState next, String why, long epoch) {
    return new RolloutRow(
        service, from, to, next, share, targets, grantNumber, epoch, why, startedAt, by, updatedAt);
  }

  /** Returns the grant that this row records. */
  public ShareGrant grant() {
    return new ShareGrant(service, from, to, share, targets, grantNumber);
  }
}
