package org.acaciapond.bench.rollout;

import java.util.SplittableRandom;

/** Sampling of random counts. */
final class Sampling {

  private static final double MIN_MEAN_FOR_NORMAL = 50;

  private Sampling() {}

  static int poisson(double mean, SplittableRandom random) {
    if (mean > MIN_MEAN_FOR_NORMAL) {
      double value = mean + Math.sqrt(mean) * random.nextGaussian();
      return (int) Math.max(0, Math.round(value));
    }
    double limit = Math.exp(-mean);
    int count = 0;
    for (double product = random.nextDouble(); product > limit; count++) {
      product *= random.nextDouble();
    }
    return count;
  }

  /** Returns the number of successes in independent trials; samples the gaps between successes. */
  static int binomial(int trials, double probability, SplittableRandom random) {
    if (probability <= 0 || trials == 0) {
      return 0;
    }
    if (probability >= 1) {
      return trials;
    }
    double logFailure = Math.log1p(-probability);
    int count = 0;
    double position = Math.floor(Math.log(1 - random.nextDouble()) / logFailure);
    while (position < trials) {
      count++;
      position += 1 + Math.floor(Math.log(1 - random.nextDouble()) / logFailure);
    }
    return count;
  }
}
