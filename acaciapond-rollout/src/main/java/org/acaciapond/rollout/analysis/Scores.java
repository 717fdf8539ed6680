package org.acaciapond.rollout.analysis;

/**
 * Score vectors of blocks of calls; the vectors of several blocks are added. Given the number of
 * events in a block, the number that falls to the new version is binomial, and a fault common to
 * both versions does not change its share.
 */
final class Scores {

  /** Tested increases of the error share. */
  static final double[] ADDED_ERROR_SHARES = {0.007, 0.012, 0.03, 0.1, 0.5};

  /** Tested slowdowns, in sketch buckets beyond the tolerated one. */
  static final int[] SLOWDOWN_BUCKETS = {1, 2, 4, 8};

  /** Index of the first log ratio of each metric. */
  static final int[] FIRST_RATIO_INDEX = {
    0, ADDED_ERROR_SHARES.length, ADDED_ERROR_SHARES.length + SLOWDOWN_BUCKETS.length
  };

  /** Number of log ratios of each metric. */
  static final int[] RATIO_COUNTS = {
    ADDED_ERROR_SHARES.length, SLOWDOWN_BUCKETS.length, SLOWDOWN_BUCKETS.length
  };

  private static final int TOTAL_RATIOS = ADDED_ERROR_SHARES.length + 2 * SLOWDOWN_BUCKETS.length;

  /** Length of a score vector: log ratios, then excess and variance of each metric. */
  static final int VECTOR_LENGTH = TOTAL_RATIOS + 2 * Metric.values().length;

  // An increase of the error share by 5% of the baseline plus 0.05% is tolerated.
  private static final double TOLERATED_ERRORS = 0.0005;
  private static final double TOLERATED_ERROR_RATIO = 1.05;

  private Scores() {}

  static int excessIndex(Metric metric) {
    return TOTAL_RATIOS + 2 * metric.ordinal();
  }

  /** Adds the scores of errors; {@code baseline} must not depend on the block. */
  static void addErrors(double[] scores, CallBlock block, double baseline) {
    double tolerated = baseline * TOLERATED_ERROR_RATIO + TOLERATED_ERRORS;
    int newErrors = block.newErrors();
    int oldErrors = block.oldErrors();
    for (int i = 0; i < ADDED_ERROR_SHARES.length; i++) {
      double harmful = Math.min(1, baseline + ADDED_ERROR_SHARES[i]);
      if (harmful > tolerated) {
        scores[i] +=
            logLikelihoodRatio(
                block, newErrors, oldErrors, tolerated / baseline, harmful / baseline);
      }
    }
    addExcess(scores, Metric.ERRORS, block, newErrors, oldErrors, tolerated / baseline);
  }

  /** Adds the scores of slow calls; new calls may be one bucket slower, the tolerated slowdown. */
  static void addSlowCalls(
      double[] scores, Metric metric, CallBlock block, int bucket, Baseline baseline) {
    int newSlow = block.newLatency().countFrom(bucket + 1);
    int oldSlow = block.oldLatency().countFrom(bucket);
    double baselineShare = baseline.shareFrom(bucket);
    int first = FIRST_RATIO_INDEX[metric.ordinal()];
    for (int i = 0; i < SLOWDOWN_BUCKETS.length; i++) {
      double ratio = baseline.shareFrom(bucket - SLOWDOWN_BUCKETS[i]) / baselineShare;
      if (ratio > 1) {
        scores[first + i] += logLikelihoodRatio(block, newSlow, oldSlow, 1, ratio);
      }
    }
    addExcess(scores, metric, block, newSlow, oldSlow, 1);
  }

  private static double logLikelihoodRatio(
      CallBlock block, int newEvents, int oldEvents, double tolerated, double harmful) {
    double share = block.newShare();
    double toleratedShare = newVersionEventShare(share, tolerated);
    double harmfulShare = newVersionEventShare(share, harmful);
    return newEvents * Math.log(harmfulShare / toleratedShare)
        + oldEvents * Math.log((1 - harmfulShare) / (1 - toleratedShare));
  }

  private static void addExcess(
      double[] scores,
      Metric metric,
      CallBlock block,
      int newEvents,
      int oldEvents,
      double tolerated) {
    double toleratedShare = newVersionEventShare(block.newShare(), tolerated);
    int events = newEvents + oldEvents;
    int index = excessIndex(metric);
    scores[index] += newEvents - events * toleratedShare;
    scores[index + 1] += events * toleratedShare * (1 - toleratedShare);
  }

  // Expected share of the events at the new version if its event rate is ratio times the old one.
  private static double newVersionEventShare(double share, double ratio) {
    return ratio * share / (1 - share + ratio * share);
  }
}
