package org.acaciapond.mesh.account;

/**
 * Limit of the requests of a client account at all nodes together.
 *
 * @param requestsPerS requests per second, 0 for no limit
 * @param burst requests in addition to the rate
 */
public record RateLimit(double requestsPerS, double burst) {

  /** Limit of an account that may send any number of requests. */
  public static final RateLimit NONE = new RateLimit(0, 0);

  /** Returns whether requests are limited at all. */
  public boolean isLimited() {
    return requestsPerS > 0;
  }
}
