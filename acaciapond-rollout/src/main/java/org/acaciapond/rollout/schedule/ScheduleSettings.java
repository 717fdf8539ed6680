package org.acaciapond.rollout.schedule;

/**
 * Settings of a rollout schedule.
 *
 * @param firstShare share while the first targets warm up
 * @param smallShare share until the new version has passed at low load
 * @param completeShare share at completion; the rest goes to the old version for comparison
 * @param smallShareTimeFraction fraction of the time until the deadline after which the small share
 *     is left
 * @param completeTimeFraction fraction of the time until the deadline after which the last raise is
 *     due
 * @param loadTrial whether the first new targets get their full load before others are added
 * @param minCalls calls to the new version required to leave the small share
 * @param minCallsForHalf calls to the new version required to send it half of the calls or more
 */
public record ScheduleSettings(
    double firstShare,
    double smallShare,
    double completeShare,
    double smallShareTimeFraction,
    double completeTimeFraction,
    boolean loadTrial,
    int minCalls,
    int minCallsForHalf) {

  /** Default schedule. */
  public static final ScheduleSettings DEFAULTS =
      new ScheduleSettings(0.01, 0.05, 0.95, 0.6, 0.92, true, 15, 50);

  /** Returns a copy that distributes every share over all new targets. */
  public ScheduleSettings withoutLoadTrial() {
    return new ScheduleSettings(
        firstShare,
        smallShare,
        completeShare,
        smallShareTimeFraction,
        completeTimeFraction,
        false,
        minCalls,
        minCallsForHalf);
  }
}
