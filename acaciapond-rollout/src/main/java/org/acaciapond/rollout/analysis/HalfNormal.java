package org.acaciapond.rollout.analysis;

/** Half-normal mixture of Gaussian likelihood ratios, the boundary of a confidence sequence. */
final class HalfNormal {

  // Prior variance of the drift for each unit of variance; favours 20 to 200 expected events.
  private static final double PRIOR = 0.05;

  private HalfNormal() {}

  /** Returns the log of the mixture for an excess with the given accumulated variance. */
  static double log(double excess, double variance) {
    double spread = 1 + PRIOR * variance;
    double exponent = PRIOR * excess * excess / (2 * spread);
    double score = excess * Math.sqrt(PRIOR / spread);
    double tail = Math.max(1e-300, 2 * normal(score));
    return exponent + Math.log(tail) - 0.5 * Math.log(spread);
  }

  // Logistic approximation of the normal distribution function; error below 2e-4.
  private static double normal(double value) {
    return 1 / (1 + Math.exp(-1.5976 * value - 0.07056 * value * value * value));
  }
}
