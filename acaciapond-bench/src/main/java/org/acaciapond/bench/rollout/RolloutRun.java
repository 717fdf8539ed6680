package org.acaciapond.bench.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.acaciapond.rollout.evidence.EvidenceSummary;

/** One run of a case with one seed. */
final class RolloutRun {

  private static final int MS_PER_SECOND = 1000;
  private static final int MAX_DELAY_SECONDS = 3;
  private static final double LOST = 0.01;
  private static final double DUPLICATED = 0.01;

  private final RolloutCase test;
  private final Strategy strategy;
  private final Traffic traffic;
  private final SplittableRandom network;
  private final List<List<EvidenceSummary>> inFlight = new ArrayList<>();
  private final List<Double> curve = new ArrayList<>();
  private double maxShare;
  private int shownAt = -1;
  private int takenBackAt = -1;
  private int completedAt = -1;
  private double badCalls;

  /**
   * Result of a run.
   *
   * @param completedOnTime completed by the set time and never taken back
   * @param takenBack taken back within the simulated time
   * @param maxShare largest granted share
   * @param badCallsShare share of the service's calls after the fault showed that the version got
   * @param detectionMs time from the first sign of the fault to the decision, or -1
   * @param ending last state and its reason
   * @param curve share in each second
   */
  record Result(
      boolean completedOnTime,
      boolean takenBack,
      double maxShare,
      double badCallsShare,
      double detectionMs,
      String ending,
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
    int horizon = test.horizonSeconds();
    for (int second = 0; second < horizon && strategyActive(second); second++) {
      step(second);
    }
    double after = (horizon - shownAt) * test.callsPerSecond();
    boolean onTime = completedAt >= 0 && completedAt <= test.bySeconds() && takenBackAt < 0;
    double detection = takenBackAt < 0 || shownAt < 0 ? -1 : takenBackAt - shownAt;
    return new Result(
        onTime,
        takenBackAt >= 0,
        maxShare,
        shownAt < 0 ? 0 : badCalls / after,
        detection < 0 ? -1 : detection * MS_PER_SECOND,
        strategy.ending(),
        curve);
  }

  // Calls go on for one second after the decision, while the fact spreads.
  private boolean strategyActive(int second) {
    return takenBackAt < 0 || second <= takenBackAt;
  }

  private void step(int second) {
    double share = strategy.share();
    int targets = Math.max(1, strategy.targets());
    maxShare = Math.max(maxShare, share);
    curve.add(share);
    if (shownAt < 0 && traffic.faultShows(second, share, targets)) {
      shownAt = second;
    }
    send(traffic.second(second, share, targets, strategy.grant()));
    if (shownAt >= 0) {
      badCalls += traffic.newCalls();
    }
    strategy.second(second + 1, arrived(), traffic.newCalls(), traffic.newErrors());
    if (takenBackAt < 0 && strategy.takenBack()) {
      takenBackAt = second + 1;
      badCalls += shownAt < 0 ? 0 : traffic.newCalls();
    }
    if (completedAt < 0 && strategy.completed()) {
      completedAt = second + 1;
    }
  }

  private void send(List<EvidenceSummary> summaries) {
    for (EvidenceSummary summary : summaries) {
      if (network.nextDouble() < LOST) {
        continue;
      }
      inFlight.get(network.nextInt(MAX_DELAY_SECONDS)).add(summary);
      if (network.nextDouble() < DUPLICATED) {
        inFlight.get(network.nextInt(MAX_DELAY_SECONDS)).add(summary);
      }
    }
  }

  private List<EvidenceSummary> arrived() {
    List<EvidenceSummary> now = inFlight.remove(0);
    inFlight.add(new ArrayList<>());
    return now;
  }
}
