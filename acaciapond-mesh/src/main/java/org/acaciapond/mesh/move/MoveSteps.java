package org.acaciapond.mesh.move;

/**
 * Shares of a new version over the time of a move. Early shares stay far below what an unproved
 * version may get; they go to so few targets that each carries the load it will have in the end.
 */
public final class MoveSteps {

  /**
   * One step.
   *
   * @param sharePermille part of the requests that the new version gets
   * @param fromPart part of the move's time at which the step may begin
   */
  public record Step(int sharePermille, double fromPart) {}

  private static final Step[] STEPS = {
    new Step(50, 0),
    new Step(160, 0.2),
    new Step(450, 0.45),
    new Step(900, 0.58),
    new Step(1000, 0.7)
  };

  /**
   * Part of the move's time at which a version with all traffic counts as proved; the old targets
   * end at once then, and have had the time since the last step to finish their calls.
   */
  public static final double COMPLETE_PART = 0.88;

  private MoveSteps() {}

  /** Returns the number of steps. */
  public static int count() {
    return STEPS.length;
  }

  /** Returns a step. */
  public static Step step(int index) {
    return STEPS[index];
  }

  /** Returns over how many of the new version's targets a share is spread. */
  public static int targets(int sharePermille, int newTargets) {
    return Math.max(1, Math.min(newTargets, (sharePermille * newTargets + 999) / 1000));
  }
}
