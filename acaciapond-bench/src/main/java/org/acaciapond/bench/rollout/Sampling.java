package org.acaciapond.bench.rollout;

import java.util.SplittableRandom;

/** Random counts. */
final class Sampling {

  private static final double NORMAL_FROM = 50;

  private Sampling() {}

  static int poisson(double mean, SplittableRandom random) {
    if (mean > NORMAL_FROM) {
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

  /** Counts the successes of independent trials by jumping from one to the next. */
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
