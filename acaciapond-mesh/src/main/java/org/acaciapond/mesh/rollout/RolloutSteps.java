package org.acaciapond.mesh.rollout;

/**
 * Shares of a new version over the time of a move. Early shares stay far below what an unproved
 * version may get; they go to so few targets that each carries the load it will have in the end.
 */
public final class RolloutSteps {

  /**
   * One step.
   *
   * @param sharePermille part of the requests that the new version gets
   * @param fromPart part of the move's time at which the step may begin
   */
  public record Step(int sharePermille, double fromPart) {}

  // The first step is half of what an unproved version may get; the second is above it for a time
  // that keeps the whole below it, and loads the first target as it will be in the end.
  private static final double FIRST_SHARE = 0.5;
  private static final double SECOND_SHARE = 1.6;

  /**
   * Part of the move's time at which a version with all traffic counts as proved; the old targets
   * end at once then, and have had the time since the last step to finish their calls.
   */
  public static final double COMPLETE_PART = 0.88;

  private final Step[] steps;

  /**
   * Creates the steps.
   *
   * @param unprovedShare part of a service's requests that an unproved version may get
   */
  public RolloutSteps(double unprovedShare) {
    steps =
        new Step[] {
          new Step(permille(FIRST_SHARE * unprovedShare), 0),
          new Step(permille(SECOND_SHARE * unprovedShare), 0.2),
          new Step(450, 0.45),
          new Step(900, 0.58),
          new Step(1000, 0.7)
        };
  }

  private static int permille(double share) {
    return (int) Math.min(450, Math.max(1, Math.round(1000 * share)));
  }

  /** Returns the number of steps. */
  public int count() {
    return steps.length;
  }

  /** Returns a step. */
  public Step step(int index) {
    return steps[index];
  }

  /** Returns over how many of the new version's targets a share is spread. */
  public static int targets(int sharePermille, int newTargets) {
    return Math.max(1, Math.min(newTargets, (sharePermille * newTargets + 999) / 1000));
  }
}
