package org.acaciapond.rollout.schedule;

import java.util.ArrayList;
import java.util.List;

/**
 * Steps of a rollout. The small share goes to as few targets as can serve it. These targets then
 * get the load that they would have in full production, and further targets are added at that load.
 */
public final class RolloutSteps {

  private static final double MAX_SINGLE_STEP_SHARE = 0.15;

  private RolloutSteps() {}

  /** Returns the steps, in order, for a version with the given number of targets. */
  public static List<RolloutStep> steps(ScheduleSettings settings, int targets) {
    return settings.loadTrial()
        ? stepsWithLoadTrial(settings, targets)
        : stepsOnAllTargets(settings, targets);
  }

  private static List<RolloutStep> stepsWithLoadTrial(ScheduleSettings settings, int targets) {
    int smallTargets = Math.max(1, (int) Math.floor(settings.smallShare() * targets + 1e-9));
    double smallShare = Math.min(settings.smallShare(), (double) smallTargets / targets);
    List<RolloutStep> steps = new ArrayList<>();
    steps.add(new RolloutStep(Math.min(settings.firstShare(), smallShare), smallTargets));
    steps.add(new RolloutStep(smallShare, smallTargets));
    addLoadTrial(steps, smallShare, targets, smallTargets);
    for (int count = 2 * smallTargets; count < settings.completeShare() * targets; count *= 2) {
      steps.add(new RolloutStep((double) count / targets, count));
    }
    steps.add(new RolloutStep(settings.completeShare(), targets));
    return steps;
  }

  private static void addLoadTrial(
      List<RolloutStep> steps, double smallShare, int targets, int smallTargets) {
    double fullLoadShare = (double) smallTargets / targets;
    for (double share = 2 * smallShare;
        fullLoadShare > MAX_SINGLE_STEP_SHARE && share < fullLoadShare;
        share *= 2) {
      steps.add(new RolloutStep(share, smallTargets));
    }
    if (fullLoadShare > smallShare && fullLoadShare < 1) {
      steps.add(new RolloutStep(fullLoadShare, smallTargets));
    }
  }

  private static List<RolloutStep> stepsOnAllTargets(ScheduleSettings settings, int targets) {
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
