package org.acaciapond.mesh.pace;

/** What the target did with the calls that ended within one window of time. */
final class LoadWindow {

  private static final int MIN_ANSWERS = 16;
  private static final int MIN_ANSWERS_PER_SLOT = 2;
  private static final long MIN_LENGTH_NANOS = 200_000_000L;
  // After this time the window ends with fewer calls, which are then no evidence.
  private static final long MAX_LENGTH_NANOS = 5_000_000_000L;
  private static final double MAX_REFUSED_SHARE = 0.1;
  private static final int MIN_REFUSED = 8;
  private static final double MAX_SLOWDOWN = 1.5;
  private static final double MAX_CALM_SLOWDOWN = 1.25;
  private static final double MIN_SATURATION = 0.75;
  private static final double MIN_RUNNING_DIFFERENCE = 1;
  private static final double MIN_DEVIATIONS = 3;

  private final long startNanos;
  private long integratedNanos;
  private double runningNanos;
  private int answered;
  private int answeredRunning;
  private int refused;
  private int refusedRunning;
  private double runningSquares;
  private int compared;
  private double slowdownSum;
  private double usualWorkUs;

  LoadWindow(long startNanos) {
    this.startNanos = startNanos;
    this.integratedNanos = startNanos;
  }

  /** Adds the time since the last call of this method, with the calls that ran during it. */
  void addRunning(int running, long nowNanos) {
    runningNanos += (double) running * (nowNanos - integratedNanos);
    integratedNanos = nowNanos;
  }

  /**
   * Adds an answered call.
   *
   * @param slowdown service time as a multiple of the usual one, 0 if it is no evidence
   */
  void addAnswer(PacedCall call, double serviceUs, double slowdown) {
    answered++;
    answeredRunning += call.runningAtSend();
    runningSquares += (double) call.runningAtSend() * call.runningAtSend();
    if (slowdown > 0) {
      compared++;
      slowdownSum += slowdown;
      usualWorkUs += serviceUs / slowdown;
    } else {
      usualWorkUs += serviceUs;
    }
  }

  /** Adds a call that the target refused or broke. */
  void addRefusal(PacedCall call) {
    refused++;
    refusedRunning += call.runningAtSend();
    runningSquares += (double) call.runningAtSend() * call.runningAtSend();
  }

  boolean isOver(int limit, long nowNanos) {
    long lengthNanos = nowNanos - startNanos;
    return lengthNanos >= MAX_LENGTH_NANOS
        || (lengthNanos >= MIN_LENGTH_NANOS && isEvidence(limit));
  }

  boolean isEvidence(int limit) {
    return answered >= Math.max(MIN_ANSWERS, MIN_ANSWERS_PER_SLOT * limit);
  }

  /** Returns whether calls used most of the limit, so that it decides what the target gets. */
  boolean isSaturated(int limit, long nowNanos) {
    return meanRunning(nowNanos) >= MIN_SATURATION * limit;
  }

  double meanRunning(long nowNanos) {
    return runningNanos / Math.max(1, nowNanos - startNanos);
  }

  private boolean hasRefusals() {
    return refused >= MIN_REFUSED && refused > MAX_REFUSED_SHARE * (answered + refused);
  }

  /**
   * Returns whether the refused calls were sent while more calls ran than the answered ones, by
   * more than chance explains.
   */
  boolean hasRefusalsAtHighLoad() {
    if (!hasRefusals() || answered == 0) {
      return false;
    }
    double difference = meanRefusedRunning() - (double) answeredRunning / answered;
    double deviation = runningDeviation() * Math.sqrt(1.0 / refused + 1.0 / answered);
    return difference >= Math.max(MIN_RUNNING_DIFFERENCE, MIN_DEVIATIONS * deviation);
  }

  private double runningDeviation() {
    double count = answered + refused;
    double mean = (answeredRunning + refusedRunning) / count;
    return Math.sqrt(Math.max(0, runningSquares / count - mean * mean));
  }

  /** Returns the mean number of calls that ran when calls that were refused had been sent. */
  double meanRefusedRunning() {
    return (double) refusedRunning / Math.max(1, refused);
  }

  boolean isSlow() {
    return compared > 0 && slowdownSum > MAX_SLOWDOWN * compared;
  }

  boolean isCalm() {
    return slowdownSum <= MAX_CALM_SLOWDOWN * compared;
  }

  /**
   * Returns the work done, as the mean number of slots that would do it at the usual service times.
   */
  double workRate(long nowNanos) {
    return usualWorkUs * 1e3 / Math.max(1, nowNanos - startNanos);
  }
}
