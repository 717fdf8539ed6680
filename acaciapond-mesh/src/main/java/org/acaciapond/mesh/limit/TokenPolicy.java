package org.acaciapond.mesh.limit;

/**
 * Production and lifetime of the tokens of one limit. All nodes together produce {@code
 * tokensPerS}. A token is spent at most {@code lifetimeNanos} after its production, so the requests
 * in a window use tokens of the window and of one lifetime before it. The lifetime is chosen such
 * that their number is within the bound, wherever the tokens were meanwhile.
 *
 * @param tokensPerS tokens that all nodes together produce per second
 * @param lifetimeNanos time from the production of a token until it expires
 */
public record TokenPolicy(double tokensPerS, long lifetimeNanos) {

  // The rest of the bound covers nodes that know a few nodes too few.
  private static final double USABLE_BOUND_SHARE = 0.98;
  // Production beyond the limit replaces tokens that expire unused or are lost with a node.
  private static final double OVER_SHARE_PRODUCED = 0.25;
  private static final double MIN_LIFETIME_WINDOWS = 0.05;

  /** Returns the policy of a limit. */
  public static TokenPolicy of(double requestsPerS, double burst, LimitBounds bounds) {
    double windowS = bounds.windowMs() / 1_000.0;
    double usable = USABLE_BOUND_SHARE * bounds.maxInWindow(requestsPerS, burst);
    double desired = requestsPerS * (1 + OVER_SHARE_PRODUCED * bounds.overShare());
    double tokensPerS = Math.min(desired, usable / (windowS * (1 + MIN_LIFETIME_WINDOWS)));
    // A lifetime beyond one window would delay the effect of a lowered limit.
    double lifetimeS = Math.min(windowS, usable / tokensPerS - windowS);
    return new TokenPolicy(tokensPerS, (long) (lifetimeS * 1e9));
  }
}
