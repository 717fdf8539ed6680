package org.acaciapond.mesh.admission;

/**
 * Longest estimated wait for a slot with which a call is still queued. A refusal after a long wait
 * costs the caller more than an early one, so less urgent calls may use only a share of the time
 * that they could wait.
 */
public final class WaitLimit {

  private static final double URGENT_WAIT_SHARE = 0.7;
  private static final double NORMAL_WAIT_SHARE = 0.3;
  private static final double PAST_OBJECTIVE_WAIT_SHARE = 0.15;
  // Refusing a nested call wastes the work done for its request, so it may wait until shortly
  // before its deadline.
  private static final double NESTED_WAIT_SHARE = 0.8;

  private WaitLimit() {}

  /**
   * Returns the longest wait in microseconds.
   *
   * @param rank order of admission, a {@link CallRank}
   * @param objectiveLeftUs time left until the latency objective
   * @param leftUs time left until the deadline
   * @param serviceUs expected service time in the target
   */
  public static double limitUs(int rank, double objectiveLeftUs, double leftUs, double serviceUs) {
    if (CallRank.isNested(rank)) {
      return Math.max(0, (leftUs - serviceUs) * NESTED_WAIT_SHARE);
    }
    double slackUs = objectiveLeftUs - serviceUs;
    if (slackUs > 0) {
      return slackUs * (CallRank.isUrgent(rank) ? URGENT_WAIT_SHARE : NORMAL_WAIT_SHARE);
    }
    return Math.max(0, (leftUs - serviceUs) * PAST_OBJECTIVE_WAIT_SHARE);
  }
}
