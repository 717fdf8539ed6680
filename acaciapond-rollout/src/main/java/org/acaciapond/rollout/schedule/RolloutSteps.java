package org.acaciapond.rollout.schedule;

import java.util.ArrayList;
import java.util.List;

/**
 * Steps of a rollout. The small share lies on as few targets as can carry it; then one target gets
 * the load of full production, and from there on targets are added at that load.
 */
public final class RolloutSteps {

  private static final double TRIAL_LIMIT = 0.15;

  private RolloutSteps() {}

  /** Returns the steps, in order, for a version with the given number of targets. */
  public static List<RolloutStep> steps(ScheduleSettings settings, int targets) {
    return settings.loadTrial() ? loaded(settings, targets) : spread(settings, targets);
  }

  private static List<RolloutStep> loaded(ScheduleSettings settings, int targets) {
    int few = Math.max(1, (int) Math.floor(settings.smallShare() * targets + 1e-9));
    double small = Math.min(settings.smallShare(), (double) few / targets);
    List<RolloutStep> steps = new ArrayList<>();
    steps.add(new RolloutStep(Math.min(settings.firstShare(), small), few));
    steps.add(new RolloutStep(small, few));
    addTrial(steps, small, targets, few);
    for (int count = 2 * few; count < settings.completeShare() * targets; count *= 2) {
      steps.add(new RolloutStep((double) count / targets, count));
    }
    steps.add(new RolloutStep(settings.completeShare(), targets));
    return steps;
  }

  private static void addTrial(List<RolloutStep> steps, double small, int targets, int few) {
    double full = (double) few / targets;
    for (double share = 2 * small; full > TRIAL_LIMIT && share < full; share *= 2) {
      steps.add(new RolloutStep(share, few));
    }
    if (full > small && full < 1) {
      steps.add(new RolloutStep(full, few));
    }
  }

  private static List<RolloutStep> spread(ScheduleSettings settings, int targets) {
    List<RolloutStep> steps = new ArrayList<>();
    steps.add(new RolloutStep(settings.firstShare(), targets));
    double share = settings.smallShare();
    while (share < settings.completeShare()) {
      steps.add(new RolloutStep(share, targets));
      share *= 2;
    }
    steps.add(new RolloutStep(settings.completeShare(), targets));
    return steps;
  }
}
