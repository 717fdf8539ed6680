package org.acaciapond.rollout.analysis;

/**
 * Settings of a judge.
 *
 * @param method sequential test
 * @param falseAlarmShare bound on the probability of condemning a good version in one rollout
 * @param holdNats log evidence above which no share is raised
 * @param agreementNats by how much the evidence without the strongest witnesses may be weaker
 * @param sickWitnessShare share of the witnesses that may be sick, at least one of two or more
 * @param restartIntervals intervals between start points of the test
 * @param coldIntervals intervals after a raise in which latency does not count
 */
public record AnalysisSettings(
    TestMethod method,
    double falseAlarmShare,
    double holdNats,
    double agreementNats,
    double sickWitnessShare,
    int restartIntervals,
    int coldIntervals) {

  private static final int MIN_RESTART_INTERVALS = 2;
  private static final int RESTARTS_PER_ROLLOUT = 50;
  private static final double COLD_SHARE = 0.05;
  private static final int MIN_COLD_INTERVALS = 4;
  private static final int MAX_COLD_INTERVALS = 10;

  /** Returns the default settings for a rollout of the given length. */
  public static AnalysisSettings defaults(int rolloutIntervals) {
    int restart = Math.max(MIN_RESTART_INTERVALS, rolloutIntervals / RESTARTS_PER_ROLLOUT);
    int cold = (int) Math.ceil(rolloutIntervals * COLD_SHARE);
    return new AnalysisSettings(
        TestMethod.MIXTURE_RATIO,
        0.002,
        0.3,
        4.0,
        0.29,
        restart,
        Math.min(MAX_COLD_INTERVALS, Math.max(MIN_COLD_INTERVALS, cold)));
  }

  /** Returns a copy with another test. */
  public AnalysisSettings withMethod(TestMethod other) {
    return new AnalysisSettings(
        other,
        falseAlarmShare,
        holdNats,
        agreementNats,
        sickWitnessShare,
        restartIntervals,
        coldIntervals);
  }

  /** Returns a copy that trusts every witness. */
  public AnalysisSettings withoutAgreement() {
    return new AnalysisSettings(
        method, falseAlarmShare, holdNats, agreementNats, 0, restartIntervals, coldIntervals);
  }

  /** Returns a copy whose test starts only once, at the beginning of the rollout. */
  public AnalysisSettings withoutRestarts() {
    return new AnalysisSettings(
        method,
        falseAlarmShare,
        holdNats,
        agreementNats,
        sickWitnessShare,
        Integer.MAX_VALUE,
        coldIntervals);
  }

  /** Returns a copy in which suspicion never delays a raise. */
  public AnalysisSettings withoutHold() {
    return new AnalysisSettings(
        method,
        falseAlarmShare,
        Double.POSITIVE_INFINITY,
        agreementNats,
        sickWitnessShare,
        restartIntervals,
        coldIntervals);
  }

  /** Returns a copy that counts the latency of cold targets. */
  public AnalysisSettings withoutColdCare() {
    return new AnalysisSettings(
        method, falseAlarmShare, holdNats, agreementNats, sickWitnessShare, restartIntervals, 0);
  }
}
