package org.acaciapond.mesh.rollout;

import java.util.List;
import org.acaciapond.rollout.analysis.AnalysisResult;
import org.acaciapond.rollout.analysis.AnalysisSettings;
import org.acaciapond.rollout.analysis.CanaryAnalyzer;
import org.acaciapond.rollout.analysis.TestMethod;
import org.acaciapond.rollout.evidence.EvidenceSummary;
import org.acaciapond.rollout.evidence.RouteCounts;

/**
 * Judge of one move: raises the share step by step while the evidence allows it and takes the
 * version back when it is proved bad.
 */
public final class RolloutController {

  /** Length of an interval of evidence. */
  public static final int INTERVAL_MS = 200;

  // The moves last seconds: latency counts again half a second after a raise, and the test starts
  // anew every two seconds to see faults that begin late.
  private static final AnalysisSettings SETTINGS =
      new AnalysisSettings(TestMethod.MIXTURE_RATIO, 0.002, 1.5, 4.0, 0.29, 10, 3);
  private static final int MIN_CALLS_A_STEP = 8;
  // Part of the move's time for which a step waits on weak signs. After it, signs above the limit
  // take the version back and weaker ones no longer delay it: an undecided move helps nobody.
  private static final double PATIENCE_PART = 0.15;
  private static final double WEAK_SIGNS_NATS = 2.5;
  private static final double SETTLE_PART = 0.07;

  // Targets of one service differ in speed, and a move starts on few of them; a bad version is
  // several times slower.
  private static final double TOLERATED_SLOWDOWN = 2;

  private final RolloutOrder order;
  private final RolloutSteps steps;
  private final CanaryAnalyzer judge;
  private int step;
  private long callsAtStep;
  private RolloutState state = RolloutState.RUNNING;
  private String reason = "";
  private double lastRaisePart;

  /** Creates the judge of an order. */
  public RolloutController(RolloutOrder order, String oldVersion, RolloutSteps steps) {
    this.order = order;
    this.steps = steps;
    this.judge = new CanaryAnalyzer(SETTINGS, order.service(), oldVersion, order.toVersion());
  }

  /** Returns the latency of a call to the new version as it is compared with the old one's. */
  public static double comparedUs(double latencyUs) {
    return latencyUs / TOLERATED_SLOWDOWN;
  }

  /** Takes over at the share that an earlier judge had granted. */
  public void resume(int sharePermille) {
    while (step + 1 < steps.count() && steps.step(step + 1).sharePermille() <= sharePermille) {
      step++;
    }
  }

  /** Adds what the callers of one failure domain saw. */
  public void accept(String domain, int elapsedMs, List<RouteCounts> counts) {
    judge.accept(new EvidenceSummary(domain, domain, 0, elapsedMs / INTERVAL_MS, step, counts));
  }

  /** Decides after a time; returns whether the share or the state changed. */
  public boolean decide(int elapsedMs) {
    if (state != RolloutState.RUNNING) {
      return false;
    }
    AnalysisResult verdict = judge.result();
    if (verdict.rejected()) {
      state = RolloutState.TAKEN_BACK;
      reason = verdict.reason();
      return true;
    }
    double part = (double) elapsedMs / order.durationMs();
    boolean last = step + 1 == steps.count();
    double duePart = last ? RolloutSteps.COMPLETE_PART : steps.step(step + 1).fromPart();
    boolean spaced = part - lastRaisePart >= SETTLE_PART || step == 0;
    boolean tried = last || verdict.newCalls() - callsAtStep >= MIN_CALLS_A_STEP;
    if (part < duePart || !spaced || !tried) {
      return false;
    }
    if (verdict.suspicious() && part < 1) {
      boolean patient = part < Math.min(duePart + PATIENCE_PART, RolloutSteps.COMPLETE_PART);
      if (patient) {
        return false;
      }
      if (verdict.logEvidence() >= WEAK_SIGNS_NATS) {
        state = RolloutState.TAKEN_BACK;
        reason = verdict.reason();
        return true;
      }
    }
    if (last) {
      state = RolloutState.COMPLETED;
    } else {
      step++;
      callsAtStep = verdict.newCalls();
      lastRaisePart = part;
    }
    return true;
  }

  /** Returns the part of the requests that the new version gets. */
  public int sharePermille() {
    return state == RolloutState.TAKEN_BACK ? 0 : steps.step(step).sharePermille();
  }

  /** Returns how far the move is. */
  public RolloutState state() {
    return state;
  }

  /** Returns why the version was taken back, or what speaks against it so far. */
  public String reason() {
    return reason.isEmpty() ? judge.result().reason() : reason;
  }

  /** Returns the informative calls to the new version. */
  public long newCalls() {
    return judge.result().newCalls();
  }
}
