package org.acaciapond.rollout.exposure;

/**
 * Limits of the requests that a version may get from the order of its rollout to the deadline,
 * unless it was proven good.
 *
 * @param share largest share of the service's requests, from 0 to 1
 * @param slackCalls requests in addition to the share, for all nodes together
 */
public record ExposureLimits(double share, double slackCalls) {

  // The rest is reserved for nodes that this one does not know.
  private static final double USABLE_SLACK_SHARE = 0.6;

  /** Returns the part of the slack that one of the given number of nodes may use. */
  public double slackCallsPerNode(int nodes) {
    return usableSlackCalls() / Math.max(1, nodes);
  }

  /** Returns the part of the slack that all nodes together use. */
  public double usableSlackCalls() {
    return slackCalls * USABLE_SLACK_SHARE;
  }
}
