package org.acaciapond.rollout.exposure;

/**
 * Share of a service's requests for a new version over the time of its rollout. A low share is held
 * for most of the time. In a load trial, a few targets carry the load that each target will have
 * after the rollout. The rise to all requests comes so late that the requests from then to the
 * deadline and those of the trial together stay within the limits, whether the version is good or
 * not.
 */
public final class ExposureSchedule {

  private static final int ALL_REQUESTS_PERMILLE = 1000;
  // Parts of the share limit.
  private static final double TRIAL_PART = 0.2;
  private static final double RAISE_PART = 0.75;
  private static final double LATEST_RAISE_PART = 0.6;
  // Nodes count from the arrival of the order, which may be half a second after the order itself.
  private static final double COMPLETED_PART = 0.45;
  private static final double LOW_SHARE_PART = 0.08;
  // Late enough to show faults that begin during the rollout; the responses of slow calls arrive
  // before the raise.
  private static final double LOAD_TRIAL_START_FRACTION = 0.62;
  private static final double MAX_LOAD_TRIAL_SHARE = 0.5;
  // Calls that prove a version good, if the limits allow them.
  private static final double SUFFICIENT_TRIAL_CALLS = 90;

  private final ExposureLimits limits;

  /** Creates a schedule that stays within the limits. */
  public ExposureSchedule(ExposureLimits limits) {
    this.limits = limits;
  }

  /** Returns the limits. */
  public ExposureLimits limits() {
    return limits;
  }

  /** Returns the budget of one node for the calls before completion. */
  public ExposureBudget createBudget() {
    return new ExposureBudget((1 - COMPLETED_PART) * limits.share());
  }

  /** Returns the fraction of the duration at which a version that is proven good gets all calls. */
  public double raiseFraction() {
    return 1 - RAISE_PART * limits.share();
  }

  /** Returns the fraction of the duration after which a version without proof is taken back. */
  public double latestRaiseFraction() {
    return 1 - LATEST_RAISE_PART * limits.share();
  }

  /**
   * Returns the fraction of the duration at which a version that gets all calls is completed. Until
   * then the old targets finish their calls, because they stop at completion.
   */
  public double completionFraction() {
    return 1 - COMPLETED_PART * limits.share();
  }

  /** Returns the fraction of the duration at which the load trial starts. */
  public double loadTrialStartFraction() {
    return LOAD_TRIAL_START_FRACTION;
  }

  /**
   * Returns the share of the requests before the raise, in permille.
   *
   * @param elapsedFraction elapsed fraction of the rollout's duration
   * @param newTargets targets of the new version that accept calls
   * @param expectedCalls calls of the service expected during the whole rollout, 0 if unknown
   */
  public int trialSharePermille(double elapsedFraction, int newTargets, double expectedCalls) {
    double factor = trialFactor(expectedCalls);
    double lowShare = LOW_SHARE_PART * limits.share() * factor;
    double loadTrialShare = loadTrialShare(newTargets);
    double trialCallsFraction = TRIAL_PART * limits.share() * factor;
    double loadTrialDuration =
        Math.max(0, trialCallsFraction - lowShare * raiseFraction()) / loadTrialShare;
    double sinceStart = elapsedFraction - LOAD_TRIAL_START_FRACTION;
    boolean inLoadTrial = sinceStart >= 0 && sinceStart < loadTrialDuration;
    return toPermille(inLoadTrial ? Math.max(lowShare, loadTrialShare) : lowShare);
  }

  // Services with few calls use the slack as well.
  private double trialFactor(double expectedCalls) {
    double calls = TRIAL_PART * limits.share() * expectedCalls;
    if (calls <= 0 || calls >= SUFFICIENT_TRIAL_CALLS) {
      return 1;
    }
    return 1 + Math.min(SUFFICIENT_TRIAL_CALLS - calls, limits.usableSlackCalls()) / calls;
  }

  private double loadTrialShare(int newTargets) {
    int targets = Math.max(1, newTargets);
    int trialTargets = Math.max(1, (int) (limits.share() * targets));
    return Math.min(MAX_LOAD_TRIAL_SHARE, (double) trialTargets / targets);
  }

  private static int toPermille(double share) {
    return (int) Math.max(1, Math.min(ALL_REQUESTS_PERMILLE, Math.round(1000 * share)));
  }

  /** Returns how many of the new version's targets a share is spread over. */
  public static int targetCount(int sharePermille, int newTargets) {
    int count = (int) Math.round(sharePermille * newTargets / 1000.0);
    return Math.min(newTargets, Math.max(1, count));
  }
}
