package org.acaciapond.mesh.limit;

/**
 * Tolerance of the shared limits.
 *
 * @param windowMs length of the sliding window in which requests are counted
 * @param overShare share of the limit that may pass beyond it in a window
 * @param slack requests that may pass in addition to the share
 */
public record LimitBounds(int windowMs, double overShare, double slack) {

  /** Returns the largest number of requests in any window. */
  public double maxInWindow(double requestsPerS, double burst) {
    return (requestsPerS * windowMs / 1_000 + burst) * (1 + overShare) + slack;
  }
}
