package org.acaciapond.mesh.rollout;

import java.util.List;
import org.acaciapond.rollout.analysis.AnalysisResult;
import org.acaciapond.rollout.analysis.AnalysisSettings;
import org.acaciapond.rollout.analysis.CanaryAnalyzer;
import org.acaciapond.rollout.analysis.TestMethod;
import org.acaciapond.rollout.evidence.EvidenceSummary;
import org.acaciapond.rollout.evidence.RouteCounts;

/**
 * Controller of one rollout: raises the share of the new version step by step while the evidence
 * allows it, and takes the version back once the analysis rejects it.
 */
public final class RolloutController {

  /** Length of an evidence interval. */
  public static final int INTERVAL_MS = 200;

  // Rollouts last seconds. Latency is ignored for 3 intervals (0.6 s) after a raise, and the test
  // restarts every 10 intervals (2 s) to detect faults that begin late.
  private static final AnalysisSettings SETTINGS =
      new AnalysisSettings(TestMethod.MIXTURE_RATIO, 0.002, 1.5, 4.0, 0.29, 10, 3);
  private static final int MIN_NEW_CALLS_PER_STEP = 8;
  // Fraction of the rollout's duration for which weak evidence delays a step. After that, evidence
  // of at least the limit takes the version back and weaker evidence no longer delays the step, so
  // that the rollout does not stay undecided.
  private static final double MAX_STEP_DELAY_FRACTION = 0.15;
  private static final double WEAK_EVIDENCE_LIMIT_NATS = 2.5;
  private static final double MIN_STEP_FRACTION = 0.07;

  // Targets of one service differ in speed, and a rollout starts on few of them. A bad version is
  // several times slower.
  private static final double TOLERATED_SLOWDOWN_FACTOR = 2;

  private final RolloutOrder order;
  private final RolloutSteps steps;
  private final CanaryAnalyzer analyzer;
  private int stepIndex;
  private long newCallsAtStepStart;
  private RolloutState state = RolloutState.RUNNING;
  private String reason = "";
  private double lastRaiseFraction;

  /** Creates a controller for an order. */
  public RolloutController(RolloutOrder order, String oldVersion, RolloutSteps steps) {
    this.order = order;
    this.steps = steps;
    this.analyzer = new CanaryAnalyzer(SETTINGS, order.service(), oldVersion, order.toVersion());
  }

  /**
   * Returns the latency of a call to the new version, reduced by the tolerated slowdown, for the
   * comparison with the old version.
   */
  public static double toleratedLatencyUs(double latencyUs) {
    return latencyUs / TOLERATED_SLOWDOWN_FACTOR;
  }

  /** Resumes at the share that an earlier analyzer of the same order had granted. */
  public void resume(int sharePermille) {
    while (stepIndex + 1 < steps.count()
        && steps.step(stepIndex + 1).sharePermille() <= sharePermille) {
      stepIndex++;
    }
  }

  /** Adds the calls that callers in one failure domain reported. */
  public void addEvidence(String domain, int elapsedMs, List<RouteCounts> counts) {
    analyzer.accept(
        new EvidenceSummary(domain, domain, 0, elapsedMs / INTERVAL_MS, stepIndex, counts));
  }

  /**
   * Analyzes the evidence and updates the share or the state.
   *
   * @param elapsedMs time since the order
   * @return whether the share or the state changed
   */
  public boolean decide(int elapsedMs) {
    if (state != RolloutState.RUNNING) {
      return false;
    }
    AnalysisResult result = analyzer.result();
    if (result.rejected()) {
      state = RolloutState.TAKEN_BACK;
      reason = result.reason();
      return true;
    }
    double elapsedFraction = (double) elapsedMs / order.durationMs();
    boolean lastStep = stepIndex + 1 == steps.count();
    double dueFraction =
        lastStep ? RolloutSteps.COMPLETION_FRACTION : steps.step(stepIndex + 1).startFraction();
    boolean minStepElapsed =
        elapsedFraction - lastRaiseFraction >= MIN_STEP_FRACTION || stepIndex == 0;
    boolean enoughCalls =
        lastStep || result.newCalls() - newCallsAtStepStart >= MIN_NEW_CALLS_PER_STEP;
    if (elapsedFraction < dueFraction || !minStepElapsed || !enoughCalls) {
      return false;
    }
    if (result.suspicious() && elapsedFraction < 1) {
      boolean withinStepDelay =
          elapsedFraction
              < Math.min(dueFraction + MAX_STEP_DELAY_FRACTION, RolloutSteps.COMPLETION_FRACTION);
      if (withinStepDelay) {
        return false;
      }
      if (result.logEvidence() >= WEAK_EVIDENCE_LIMIT_NATS) {
        state = RolloutState.TAKEN_BACK;
        reason = result.reason();
        return true;
      }
    }
    if (lastStep) {
      state = RolloutState.COMPLETED;
    } else {
      stepIndex++;
      newCallsAtStepStart = result.newCalls();
      lastRaiseFraction = elapsedFraction;
    }
    return true;
  }

  /** Returns the share of the requests that the new version gets, in permille. */
  public int sharePermille() {
    return state == RolloutState.TAKEN_BACK ? 0 : steps.step(stepIndex).sharePermille();
  }

  /** Returns the state of the rollout. */
  public RolloutState state() {
    return state;
  }

  /** Returns why the version was taken back, or the evidence against it so far. */
  public String reason() {
    return reason.isEmpty() ? analyzer.result().reason() : reason;
  }

  /** Returns the number of calls to the new version that the analysis used. */
  public long newCalls() {
    return analyzer.result().newCalls();
  }
}
