package org.acaciapond.rollout.schedule;

/**
 * Settings of the pace.
 *
 * @param firstShare share while the first targets are cold
 * @param smallShare share until the new version looks good at low load
 * @param completeShare share once complete, while the old version stays for comparison
 * @param smallUntil part of the set time spent at the small share
 * @param completeAt part of the set time after which the last raise is due
 * @param loadTrial whether one new target carries its full load before others join
 * @param minCalls calls to the new version needed before the small share is left
 * @param minCallsHalf calls to the new version needed before it gets half of the calls
 */
public record ScheduleSettings(
    double firstShare,
    double smallShare,
    double completeShare,
    double smallUntil,
    double completeAt,
    boolean loadTrial,
    int minCalls,
    int minCallsHalf) {

  /** Default pace. */
  public static final ScheduleSettings DEFAULTS =
      new ScheduleSettings(0.01, 0.05, 0.95, 0.6, 0.92, true, 15, 50);

  /** Returns a copy that spreads every share over all new targets. */
  public ScheduleSettings withoutLoadTrial() {
    return new ScheduleSettings(
        firstShare,
        smallShare,
        completeShare,
        smallUntil,
        completeAt,
        false,
        minCalls,
        minCallsHalf);
  }
}
