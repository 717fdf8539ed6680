package org.acaciapond.mesh.rollout;

import java.util.List;
import org.acaciapond.rollout.analysis.AnalysisResult;
import org.acaciapond.rollout.analysis.AnalysisSettings;
import org.acaciapond.rollout.analysis.CanaryAnalyzer;
import org.acaciapond.rollout.analysis.NonInferiorityAnalyzer;
import org.acaciapond.rollout.analysis.TestMethod;
import org.acaciapond.rollout.evidence.EvidenceSummary;
import org.acaciapond.rollout.evidence.RouteCounts;
import org.acaciapond.rollout.exposure.ExposureSchedule;

/**
 * Controller of one rollout. It follows the schedule of the trial, raises the share to all requests
 * only after the evidence has proven the version good, and takes the version back once the analysis
 * rejects it or if it is not proven in time.
 */
public final class RolloutController {

  /** Length of an evidence interval. */
  public static final int INTERVAL_MS = 200;

  private static final int ALL_REQUESTS_PERMILLE = 1000;
  // Latency is ignored for 3 intervals (0.6 s) after the raise, and the test restarts every 10
  // intervals (2 s) to detect faults that begin late.
  private static final AnalysisSettings SETTINGS =
      new AnalysisSettings(TestMethod.MIXTURE_RATIO, 0.002, 1.5, 4.0, 0.29, 10, 3);
  private static final double WEAK_EVIDENCE_LIMIT_NATS = 2.5;
  // Before this fraction of the duration, the calls so far do not tell how many will follow.
  private static final double MIN_FRACTION_FOR_ESTIMATE = 0.1;

  // Targets of one service differ in speed, and a rollout starts on few of them. A bad version is
  // several times slower.
  private static final double TOLERATED_SLOWDOWN_FACTOR = 2;

  private final RolloutOrder order;
  private final ExposureSchedule schedule;
  private final CanaryAnalyzer analyzer;
  private final NonInferiorityAnalyzer wholeTrial;
  // Only the calls since the start of the load trial, which may show a fault that began late.
  private final NonInferiorityAnalyzer loadTrial;
  private RolloutState state = RolloutState.RUNNING;
  private String reason = "";
  private int sharePermille;
  private boolean raised;
  private long calls;

  /** Creates a controller for an order. */
  public RolloutController(RolloutOrder order, String oldVersion, ExposureSchedule schedule) {
    this.order = order;
    this.schedule = schedule;
    this.analyzer = new CanaryAnalyzer(SETTINGS, order.service(), oldVersion, order.toVersion());
    this.wholeTrial = new NonInferiorityAnalyzer(order.service(), oldVersion, order.toVersion());
    this.loadTrial = new NonInferiorityAnalyzer(order.service(), oldVersion, order.toVersion());
  }

  /**
   * Returns the latency of a call to the new version, reduced by the tolerated slowdown, for the
   * comparison with the old version.
   */
  public static double toleratedLatencyUs(double latencyUs) {
    return latencyUs / TOLERATED_SLOWDOWN_FACTOR;
  }

  /** Resumes at the share that an earlier analyzer of the same order had granted. */
  public void resume(int grantedSharePermille) {
    sharePermille = grantedSharePermille;
    raised = grantedSharePermille == ALL_REQUESTS_PERMILLE;
  }

  /** Adds the calls that callers in one failure domain reported. */
  public void addEvidence(String domain, int elapsedMs, List<RouteCounts> counts) {
    int grant = raised ? 1 : 0;
    analyzer.accept(new EvidenceSummary(domain, domain, 0, elapsedMs / INTERVAL_MS, grant, counts));
    wholeTrial.add(domain, counts);
    if (elapsedFraction(elapsedMs) >= schedule.loadTrialStartFraction()) {
      loadTrial.add(domain, counts);
    }
    for (RouteCounts each : counts) {
      calls += each.calls();
    }
  }

  private double elapsedFraction(int elapsedMs) {
    return (double) elapsedMs / order.durationMs();
  }

  /**
   * Analyzes the evidence and updates the share or the state.
   *
   * @param elapsedMs time since the order
   * @param newTargets targets of the new version that accept calls
   * @return whether the share or the state changed
   */
  public boolean decide(int elapsedMs, int newTargets) {
    if (state != RolloutState.RUNNING) {
      return false;
    }
    AnalysisResult result = analyzer.result();
    if (result.rejected()) {
      takeBack(result.reason());
      return true;
    }
    double fraction = elapsedFraction(elapsedMs);
    if (raised) {
      return completeWhenDue(fraction, result);
    }
    if (fraction >= schedule.raiseFraction()) {
      return raiseIfProven(fraction, result);
    }
    double expectedCalls = fraction < MIN_FRACTION_FOR_ESTIMATE ? 0 : calls / fraction;
    int next = schedule.trialSharePermille(fraction, newTargets, expectedCalls);
    boolean changed = next != sharePermille;
    sharePermille = next;
    return changed;
  }

  private boolean raiseIfProven(double fraction, AnalysisResult result) {
    String question = openQuestion();
    boolean weakEvidence = result.logEvidence() >= WEAK_EVIDENCE_LIMIT_NATS;
    if (question.isEmpty() && !weakEvidence) {
      raised = true;
      sharePermille = ALL_REQUESTS_PERMILLE;
      return true;
    }
    if (fraction < schedule.latestRaiseFraction()) {
      return false;
    }
    takeBack(weakEvidence ? result.reason() : "late: not proven good: " + question);
    return true;
  }

  private boolean completeWhenDue(double fraction, AnalysisResult result) {
    if (fraction < schedule.completionFraction()) {
      return false;
    }
    // The calls since the raise may contradict those of the trial.
    String question = openQuestion();
    if (result.suspicious() && result.logEvidence() >= WEAK_EVIDENCE_LIMIT_NATS) {
      takeBack(result.reason());
    } else if (!question.isEmpty()) {
      takeBack("not proven good after the raise: " + question);
    } else {
      state = RolloutState.COMPLETED;
    }
    return true;
  }

  private void takeBack(String why) {
    state = RolloutState.TAKEN_BACK;
    sharePermille = 0;
    reason = why;
  }

  private String openQuestion() {
    List<String> open = wholeTrial.openQuestions();
    if (open.isEmpty()) {
      open = loadTrial.openQuestionsOfAllRoutes();
    }
    return open.isEmpty() ? "" : open.get(0);
  }

  /** Returns the share of the requests that the new version gets, in permille. */
  public int sharePermille() {
    return sharePermille;
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
