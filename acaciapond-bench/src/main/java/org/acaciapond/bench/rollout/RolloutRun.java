package org.acaciapond.bench.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.acaciapond.rollout.evidence.EvidenceSummary;

/** Simulation of one case with one seed. */
final class RolloutRun {

  private static final int MS_PER_SECOND = 1000;
  private static final int MAX_DELAY_SECONDS = 3;
  private static final double LOSS_PROBABILITY = 0.01;
  private static final double DUPLICATION_PROBABILITY = 0.01;

  private final RolloutCase test;
  private final Strategy strategy;
  private final Traffic traffic;
  private final SplittableRandom network;
  private final List<List<EvidenceSummary>> inFlight = new ArrayList<>();
  private final List<Double> curve = new ArrayList<>();
  private double maxShare;
  private int faultVisibleAt = -1;
  private int takenBackAt = -1;
  private int completedAt = -1;
  private double badCalls;

  /**
   * Result of a run.
   *
   * @param completedOnTime completed by the deadline and never taken back
   * @param takenBack taken back within the simulated time
   * @param maxShare largest granted share
   * @param badCallsShare share of the calls that the version got once the fault was visible
   * @param detectionMs time from when the fault was visible to the take-back, or -1
   * @param finalState last state and its reason
   * @param curve share in each second
   */
  record Result(
      boolean completedOnTime,
      boolean takenBack,
      double maxShare,
      double badCallsShare,
      double detectionMs,
      String finalState,
      List<Double> curve) {}

  RolloutRun(RolloutCase test, Policy policy, long seed) {
    this.test = test;
    SplittableRandom random = new SplittableRandom(seed);
    this.network = random.split();
    this.traffic = new Traffic(test, random.split());
    this.strategy =
        policy == Policy.FIXED_SCHEDULE
            ? new FixedScheduleStrategy(test)
            : new ControllerStrategy(test, policy);
    for (int i = 0; i <= MAX_DELAY_SECONDS; i++) {
      inFlight.add(new ArrayList<>());
    }
  }

  Result run() {
    int horizon = test.endSeconds();
    for (int second = 0; second < horizon && isRunning(second); second++) {
      step(second);
    }
    double callsAfterFault = (horizon - faultVisibleAt) * test.callsPerSecond();
    boolean onTime = completedAt >= 0 && completedAt <= test.deadlineSeconds() && takenBackAt < 0;
    double detection = takenBackAt < 0 || faultVisibleAt < 0 ? -1 : takenBackAt - faultVisibleAt;
    return new Result(
        onTime,
        takenBackAt >= 0,
        maxShare,
        faultVisibleAt < 0 ? 0 : badCalls / callsAfterFault,
        detection < 0 ? -1 : detection * MS_PER_SECOND,
        strategy.finalState(),
        curve);
  }

  // Calls continue for one second after the take-back, while it spreads to the nodes.
  private boolean isRunning(int second) {
    return takenBackAt < 0 || second <= takenBackAt;
  }

  private void step(int second) {
    double share = strategy.share();
    int targets = Math.max(1, strategy.targets());
    maxShare = Math.max(maxShare, share);
    curve.add(share);
    if (faultVisibleAt < 0 && traffic.isFaultVisible(second, share, targets)) {
      faultVisibleAt = second;
    }
    send(traffic.simulateSecond(second, share, targets, strategy.grantNumber()));
    if (faultVisibleAt >= 0) {
      badCalls += traffic.newCalls();
    }
    strategy.advance(second + 1, received(), traffic.newCalls(), traffic.newErrors());
    if (takenBackAt < 0 && strategy.takenBack()) {
      takenBackAt = second + 1;
      badCalls += faultVisibleAt < 0 ? 0 : traffic.newCalls();
    }
    if (completedAt < 0 && strategy.completed()) {
      completedAt = second + 1;
    }
  }

  private void send(List<EvidenceSummary> summaries) {
    for (EvidenceSummary summary : summaries) {
      if (network.nextDouble() < LOSS_PROBABILITY) {
        continue;
      }
      inFlight.get(network.nextInt(MAX_DELAY_SECONDS)).add(summary);
      if (network.nextDouble() < DUPLICATION_PROBABILITY) {
        inFlight.get(network.nextInt(MAX_DELAY_SECONDS)).add(summary);
      }
    }
  }

  private List<EvidenceSummary> received() {
    List<EvidenceSummary> now = inFlight.remove(0);
    inFlight.add(new ArrayList<>());
    return now;
  }
}
