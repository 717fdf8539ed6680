package org.acaciapond.mesh.rollout;

/**
 * Steps by which a rollout raises the share of the new version. The early steps send far fewer
 * requests than an unproven version may get over the whole rollout. They use so few targets that
 * each of them carries the load it will have after the rollout.
 */
public final class RolloutSteps {

  // Multiples of the share that an unproven version may get. The first step uses half of it. The
  // second exceeds it, but so briefly that the requests of both steps stay below this share of the
  // whole rollout's requests; it loads the first target as it will be loaded after the rollout.
  private static final double FIRST_SHARE_FACTOR = 0.5;
  private static final double SECOND_SHARE_FACTOR = 1.6;

  /**
   * Fraction of the rollout's duration after which a version that gets all traffic counts as
   * proven. The old targets stop immediately at that point; they have had the time since the last
   * step to finish their calls.
   */
  public static final double COMPLETION_FRACTION = 0.88;

  private final RolloutStep[] steps;

  /**
   * Creates the steps.
   *
   * @param unprovenShare share of a service's requests, from 0 to 1, that an unproven version may
   *     get
   */
  public RolloutSteps(double unprovenShare) {
    steps =
        new RolloutStep[] {
          new RolloutStep(toPermille(FIRST_SHARE_FACTOR * unprovenShare), 0),
          new RolloutStep(toPermille(SECOND_SHARE_FACTOR * unprovenShare), 0.2),
          new RolloutStep(450, 0.45),
          new RolloutStep(900, 0.58),
          new RolloutStep(1000, 0.7)
        };
  }

  private static int toPermille(double share) {
    return (int) Math.min(450, Math.max(1, Math.round(1000 * share)));
  }

  /** Returns the number of steps. */
  public int count() {
    return steps.length;
  }

  /** Returns the step with an index, starting from 0. */
  public RolloutStep step(int index) {
    return steps[index];
  }

  /** Returns how many of the new version's targets a share is spread over. */
  public static int targetCount(int sharePermille, int newTargets) {
    return Math.max(1, Math.min(newTargets, (sharePermille * newTargets + 999) / 1000));
  }
}
