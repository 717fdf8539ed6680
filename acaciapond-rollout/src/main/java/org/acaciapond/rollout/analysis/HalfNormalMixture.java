package org.acaciapond.rollout.analysis;

/** Half-normal mixture of Gaussian likelihood ratios, used as boundary of a confidence sequence. */
final class HalfNormalMixture {

  // Prior variance of the drift per unit of variance; most sensitive at 20 to 200 expected events.
  private static final double PRIOR_VARIANCE = 0.05;

  private HalfNormalMixture() {}

  /** Returns the log of the mixture for an excess with the given accumulated variance. */
  static double logMixture(double excess, double variance) {
    double spread = 1 + PRIOR_VARIANCE * variance;
    double exponent = PRIOR_VARIANCE * excess * excess / (2 * spread);
    double score = excess * Math.sqrt(PRIOR_VARIANCE / spread);
    double tail = Math.max(1e-300, 2 * normalCdf(score));
    return exponent + Math.log(tail) - 0.5 * Math.log(spread);
  }

  // Logistic approximation of the normal distribution function; error below 2e-4.
  private static double normalCdf(double value) {
    return 1 / (1 + Math.exp(-1.5976 * value - 0.07056 * value * value * value));
  }
}
