package org.acaciapond.rollout.pace;

import java.util.ArrayList;
import java.util.List;

/**
 * Steps of a rollout. The small share lies on as few targets as can carry it; then one target gets
 * the load of full production, and from there on targets are added at that load.
 */
public final class Ladder {

  private static final double TRIAL_LIMIT = 0.15;

  private Ladder() {}

  /** Returns the steps, in order, for a version with the given number of targets. */
  public static List<Step> steps(PaceSettings settings, int targets) {
    return settings.loadTrial() ? loaded(settings, targets) : spread(settings, targets);
  }

  private static List<Step> loaded(PaceSettings settings, int targets) {
    int few = Math.max(1, (int) Math.floor(settings.smallShare() * targets + 1e-9));
    double small = Math.min(settings.smallShare(), (double) few / targets);
    List<Step> steps = new ArrayList<>();
    steps.add(new Step(Math.min(settings.firstShare(), small), few));
    steps.add(new Step(small, few));
    addTrial(steps, small, targets, few);
    for (int count = 2 * few; count < settings.completeShare() * targets; count *= 2) {
      steps.add(new Step((double) count / targets, count));
    }
    steps.add(new Step(settings.completeShare(), targets));
    return steps;
  }

  private static void addTrial(List<Step> steps, double small, int targets, int few) {
    double full = (double) few / targets;
    for (double share = 2 * small; full > TRIAL_LIMIT && share < full; share *= 2) {
      steps.add(new Step(share, few));
    }
    if (full > small && full < 1) {
      steps.add(new Step(full, few));
    }
  }

  private static List<Step> spread(PaceSettings settings, int targets) {
    List<Step> steps = new ArrayList<>();
    steps.add(new Step(settings.firstShare(), targets));
    double share = settings.smallShare();
    while (share < settings.completeShare()) {
      steps.add(new Step(share, targets));
      share *= 2;
    }
    steps.add(new Step(settings.completeShare(), targets));
    return steps;
  }
}
