package org.acaciapond.rollout.analysis;

/**
 * Additive evidence of one block of calls. Given the number of events in a block, the share that
 * falls to the new version is binomial; a fault common to both versions leaves that share alone.
 */
final class Scores {

  /** Added error shares that are tested. */
  static final double[] ERROR_SIZES = {0.007, 0.012, 0.03, 0.1, 0.5};

  /** Slowdowns that are tested, in sketch buckets beyond the tolerated one. */
  static final int[] SLOW_SIZES = {1, 2, 4, 8};

  /** Index of the first ratio of each metric. */
  static final int[] FIRST = {0, ERROR_SIZES.length, ERROR_SIZES.length + SLOW_SIZES.length};

  /** Number of ratios of each metric. */
  static final int[] SIZES = {ERROR_SIZES.length, SLOW_SIZES.length, SLOW_SIZES.length};

  private static final int RATIOS = ERROR_SIZES.length + 2 * SLOW_SIZES.length;

  /** Length of a score vector: log ratios, then excess and variance of each metric. */
  static final int LENGTH = RATIOS + 2 * Metric.values().length;

  // Added errors of up to 0.05% and 5% of the old share are not worth a take-back.
  private static final double TOLERATED_ERRORS = 0.0005;
  private static final double TOLERATED_ERROR_RATIO = 1.05;

  private Scores() {}

  static int excessIndex(Metric metric) {
    return RATIOS + 2 * metric.ordinal();
  }

  /** Adds the error evidence of a block; {@code baseline} must not depend on the block. */
  static void addErrors(double[] scores, Block block, double baseline) {
    double tolerated = baseline * TOLERATED_ERROR_RATIO + TOLERATED_ERRORS;
    int newErrors = block.newErrors();
    int oldErrors = block.oldErrors();
    for (int i = 0; i < ERROR_SIZES.length; i++) {
      double harmful = Math.min(1, baseline + ERROR_SIZES[i]);
      if (harmful > tolerated) {
        scores[i] +=
            logRatio(block, newErrors, oldErrors, tolerated / baseline, harmful / baseline);
      }
    }
    addExcess(scores, Metric.ERRORS, block, newErrors, oldErrors, tolerated / baseline);
  }

  /** Adds the evidence on calls slower than a bucket, new ones shifted by the tolerance. */
  static void addSlow(double[] scores, Metric metric, Block block, int bucket, Baseline baseline) {
    int newSlow = block.newLatency().countFrom(bucket + 1);
    int oldSlow = block.oldLatency().countFrom(bucket);
    double usual = baseline.shareFrom(bucket);
    int first = FIRST[metric.ordinal()];
    for (int i = 0; i < SLOW_SIZES.length; i++) {
      double ratio = baseline.shareFrom(bucket - SLOW_SIZES[i]) / usual;
      if (ratio > 1) {
        scores[first + i] += logRatio(block, newSlow, oldSlow, 1, ratio);
      }
    }
    addExcess(scores, metric, block, newSlow, oldSlow, 1);
  }

  private static double logRatio(
      Block block, int newEvents, int oldEvents, double tolerated, double harmful) {
    double share = block.newShare();
    double under = tilt(share, tolerated);
    double against = tilt(share, harmful);
    return newEvents * Math.log(against / under)
        + oldEvents * Math.log((1 - against) / (1 - under));
  }

  private static void addExcess(
      double[] scores, Metric metric, Block block, int newEvents, int oldEvents, double tolerated) {
    double under = tilt(block.newShare(), tolerated);
    int events = newEvents + oldEvents;
    int index = excessIndex(metric);
    scores[index] += newEvents - events * under;
    scores[index + 1] += events * under * (1 - under);
  }

  private static double tilt(double share, double ratio) {
    return ratio * share / (1 - share + ratio * share);
  }
}
