package org.acaciapond.mesh.admission;

/**
 * Longest wait for a slot that is worth beginning. A refusal after a long wait costs its caller
 * more than an early one, so less urgent calls may only use a part of the time that they could
 * wait.
 */
public final class WaitLimit {

  private static final double URGENT_WAIT_SHARE = 0.7;
  private static final double NORMAL_WAIT_SHARE = 0.3;
  private static final double LATE_WAIT_SHARE = 0.15;
  // A refused call of a running request wastes the run, so it may wait until shortly before its
  // deadline.
  private static final double NESTED_WAIT_SHARE = 0.8;
  private static final int URGENT_RANK = 1;

  private WaitLimit() {}

  /** Returns whether calls of a rank go before the less urgent ones that wait. */
  public static boolean urgent(int rank) {
    return rank <= URGENT_RANK;
  }

  /**
   * Returns the limit in microseconds.
   *
   * @param rank order of admission
   * @param objectiveLeftUs time left until the answer loses worth
   * @param leftUs time left until the deadline
   * @param workUs expected time in the target
   */
  public static double us(int rank, double objectiveLeftUs, double leftUs, double workUs) {
    if (rank == CallClass.RANK_NESTED) {
      return Math.max(0, (leftUs - workUs) * NESTED_WAIT_SHARE);
    }
    double slackUs = objectiveLeftUs - workUs;
    if (slackUs > 0) {
      return slackUs * (urgent(rank) ? URGENT_WAIT_SHARE : NORMAL_WAIT_SHARE);
    }
    return Math.max(0, (leftUs - workUs) * LATE_WAIT_SHARE);
  }
}
