package org.acaciapond.rollout.analysis;

/**
 * Settings of an analyzer.
 *
 * @param method sequential test
 * @param falseAlarmProbability bound on the probability that a good version is rejected in one
 *     rollout
 * @param holdThresholdNats log evidence above which the share is not raised
 * @param agreementSlackNats how much weaker, in nats, the evidence without the strongest reporters
 *     may be
 * @param unhealthyReporterShare share of the reporters that may be unhealthy; at least one reporter
 *     if there are two or more
 * @param startPointIntervals intervals between start points of the test
 * @param warmupIntervals intervals after a new grant in which latency is not counted
 */
public record AnalysisSettings(
    TestMethod method,
    double falseAlarmProbability,
    double holdThresholdNats,
    double agreementSlackNats,
    double unhealthyReporterShare,
    int startPointIntervals,
    int warmupIntervals) {

  private static final int MIN_START_POINT_INTERVALS = 2;
  private static final int START_POINTS_PER_ROLLOUT = 50;
  private static final double WARMUP_FRACTION = 0.05;
  private static final int MIN_WARMUP_INTERVALS = 4;
  private static final int MAX_WARMUP_INTERVALS = 10;

  /** Returns the default settings for a rollout of the given length. */
  public static AnalysisSettings defaults(int rolloutIntervals) {
    int startPointInterval =
        Math.max(MIN_START_POINT_INTERVALS, rolloutIntervals / START_POINTS_PER_ROLLOUT);
    int warmup = (int) Math.ceil(rolloutIntervals * WARMUP_FRACTION);
    return new AnalysisSettings(
        TestMethod.MIXTURE_RATIO,
        0.002,
        0.3,
        4.0,
        0.29,
        startPointInterval,
        Math.min(MAX_WARMUP_INTERVALS, Math.max(MIN_WARMUP_INTERVALS, warmup)));
  }

  /** Returns a copy with another test method. */
  public AnalysisSettings withMethod(TestMethod other) {
    return new AnalysisSettings(
        other,
        falseAlarmProbability,
        holdThresholdNats,
        agreementSlackNats,
        unhealthyReporterShare,
        startPointIntervals,
        warmupIntervals);
  }

  /** Returns a copy that assumes every reporter to be healthy. */
  public AnalysisSettings withoutAgreement() {
    return new AnalysisSettings(
        method,
        falseAlarmProbability,
        holdThresholdNats,
        agreementSlackNats,
        0,
        startPointIntervals,
        warmupIntervals);
  }

  /** Returns a copy with a single start point, the beginning of the rollout. */
  public AnalysisSettings withoutLaterStartPoints() {
    return new AnalysisSettings(
        method,
        falseAlarmProbability,
        holdThresholdNats,
        agreementSlackNats,
        unhealthyReporterShare,
        Integer.MAX_VALUE,
        warmupIntervals);
  }

  /** Returns a copy in which suspicious results never delay a raise. */
  public AnalysisSettings withoutHold() {
    return new AnalysisSettings(
        method,
        falseAlarmProbability,
        Double.POSITIVE_INFINITY,
        agreementSlackNats,
        unhealthyReporterShare,
        startPointIntervals,
        warmupIntervals);
  }

  /** Returns a copy that counts latency during warm-up, too. */
  public AnalysisSettings withoutWarmup() {
    return new AnalysisSettings(
        method,
        falseAlarmProbability,
        holdThresholdNats,
        agreementSlackNats,
        unhealthyReporterShare,
        startPointIntervals,
        0);
  }
}
