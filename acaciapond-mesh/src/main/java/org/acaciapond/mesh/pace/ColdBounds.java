package org.acaciapond.mesh.pace;

/**
 * Bound on the requests to a cold target in any second, in relation to the rate that it tolerates.
 *
 * @param overFactor multiple of the rate
 * @param slack requests in addition
 */
public record ColdBounds(double overFactor, double slack) {

  /** Returns the largest number of requests in a second. */
  double maxRequests(double ratePerS) {
    return Math.floor(ratePerS * overFactor + slack);
  }

  /** Returns the number of requests in a second that is within the bound at every rate. */
  double maxRequestsAtUnknownRate() {
    return Math.floor(slack);
  }

  /** Returns whether the settings of the node contain a bound. */
  boolean areSet() {
    return overFactor > 1 || slack > 0;
  }
}
