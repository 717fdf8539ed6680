package org.acaciapond.mesh.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.acaciapond.rollout.evidence.LatencySketch;
import org.acaciapond.rollout.evidence.RouteCounts;
import org.acaciapond.rollout.exposure.ExposureBudget;
import org.acaciapond.rollout.exposure.ExposureLimits;
import org.acaciapond.rollout.exposure.ExposureSchedule;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RolloutControllerTest {

  private static final int DURATION_MS = 14_000;
  private static final String[] DOMAINS = {"z1", "z2", "z3"};
  private static final int NODES = 12;
  private static final int NEW_TARGETS = 6;

  private static final ExposureSchedule SCHEDULE =
      new ExposureSchedule(new ExposureLimits(0.1, 50));

  /** Fault of the new version: its start, its share of errors, its slowdown and its routes. */
  private record Fault(int afterMs, double errorShare, double slowFactor, boolean oneRoute) {}

  /** Outcome of a simulated rollout. */
  private record Result(
      RolloutState state, int endMs, int newCalls, int badCalls, int calls, String reason) {}

  private static Result runRollout(Fault fault, int callsPerSecond, long seed) {
    Random random = new Random(seed);
    RolloutController controller =
        new RolloutController(new RolloutOrder("s", "v2", DURATION_MS, 1), "v1", SCHEDULE);
    List<ExposureBudget> budgets = new ArrayList<>();
    for (int node = 0; node < NODES; node++) {
      budgets.add(SCHEDULE.createBudget());
      budgets.get(node).setSlackCalls(SCHEDULE.limits().slackCallsPerNode(NODES));
    }
    int newCalls = 0;
    int badCalls = 0;
    int calls = 0;
    for (int ms = 0; ms < DURATION_MS; ms += RolloutController.INTERVAL_MS) {
      Map<String, Map<String, int[]>> counts = new HashMap<>();
      Map<String, LatencySketch> latency = new HashMap<>();
      int arrivals = callsPerSecond * RolloutController.INTERVAL_MS / 1000;
      for (int i = 0; i < arrivals; i++) {
        int node = random.nextInt(NODES);
        ExposureBudget budget = budgets.get(node);
        String route = random.nextInt(3) == 0 ? "orders" : "views";
        boolean toNew = random.nextInt(1000) < controller.sharePermille() && budget.allowsCall();
        if (toNew) {
          budget.recordExposure();
        }
        budget.recordAnswer();
        boolean faulty =
            toNew && ms >= fault.afterMs && (!fault.oneRoute || route.equals("orders"));
        double latencyUs = 60_000 * Math.exp(0.5 * random.nextGaussian());
        latencyUs *= faulty ? fault.slowFactor : 1;
        latencyUs = toNew ? RolloutController.toleratedLatencyUs(latencyUs) : latencyUs;
        String version = toNew ? "v2" : "v1";
        String domain = DOMAINS[node % DOMAINS.length];
        final boolean error = random.nextDouble() < (faulty ? fault.errorShare : 0.003);
        int[] callsAndErrors =
            counts
                .computeIfAbsent(domain, key -> new HashMap<>())
                .computeIfAbsent(version + "/" + route, key -> new int[2]);
        callsAndErrors[0]++;
        callsAndErrors[1] += error ? 1 : 0;
        if (!error) {
          latency
              .computeIfAbsent(domain + "/" + version + "/" + route, key -> new LatencySketch())
              .add(LatencySketch.bucketOf(latencyUs), 1);
        }
        calls++;
        newCalls += toNew ? 1 : 0;
        badCalls += faulty && (error || fault.slowFactor > 1) ? 1 : 0;
      }
      for (String domain : counts.keySet()) {
        List<RouteCounts> reported = new ArrayList<>();
        counts
            .get(domain)
            .forEach(
                (key, callsAndErrors) -> {
                  String[] names = key.split("/");
                  reported.add(
                      new RouteCounts(
                          "s",
                          names[0],
                          names[1],
                          callsAndErrors[0],
                          callsAndErrors[1],
                          latency.getOrDefault(domain + "/" + key, new LatencySketch())));
                });
        controller.addEvidence(domain, ms, reported);
      }
      controller.decide(ms, NEW_TARGETS);
      if (controller.state() != RolloutState.RUNNING) {
        return new Result(controller.state(), ms, newCalls, badCalls, calls, controller.reason());
      }
    }
    return new Result(
        controller.state(), DURATION_MS, newCalls, badCalls, calls, controller.reason());
  }

  /**
   * Guards against a bad version that is not taken back, or that gets more requests than an
   * unproven version may get.
   */
  @ParameterizedTest
  @CsvSource({
    "0, 0.5, 1, false",
    "0, 0.33, 1, true",
    "2500, 0.4, 1, false",
    "3000, 0.5, 1, true",
    "0, 0, 8, false",
    "2000, 0, 8, true",
    "9000, 0.5, 1, false",
    "9000, 0.5, 1, true",
    "9000, 0, 6, false"
  })
  void badVersionIsTakenBackWithinItsShare(
      int afterMs, double errorShare, double slowFactor, boolean oneRoute) {
    Fault fault = new Fault(afterMs, errorShare, slowFactor, oneRoute);
    for (int callsPerSecond : new int[] {180, 420}) {
      for (int seed = 0; seed < 40; seed++) {
        Result result = runRollout(fault, callsPerSecond, seed);
        String details = fault + " at " + callsPerSecond + "/s seed " + seed + ": " + result;
        assertEquals(RolloutState.TAKEN_BACK, result.state(), details);
        assertTrue(result.newCalls() <= 0.1 * callsPerSecond * DURATION_MS / 1000 + 50, details);
      }
    }
  }

  /**
   * Guards against a version that the analysis does not find bad and that gets more requests than
   * an unproven version may get until the deadline.
   */
  @ParameterizedTest
  @CsvSource({"180", "420"})
  void versionThatIsNotDetectedStaysWithinItsShare(int callsPerSecond) {
    for (int seed = 0; seed < 40; seed++) {
      Result result = runRollout(new Fault(0, 0.003, 1.9, false), callsPerSecond, seed);
      int remaining = callsPerSecond * (DURATION_MS - result.endMs()) / 1000;
      int newCalls = result.newCalls() + (result.state() == RolloutState.COMPLETED ? remaining : 0);
      String details = callsPerSecond + "/s seed " + seed + ": " + result;
      assertTrue(newCalls <= 0.1 * callsPerSecond * DURATION_MS / 1000 + 50, details);
    }
  }

  /** Guards against a good version that is taken back because its first targets are slow. */
  @ParameterizedTest
  @CsvSource({"180", "420"})
  void versionOnSlowerTargetsIsCompleted(int callsPerSecond) {
    int completed = 0;
    for (int seed = 0; seed < 100; seed++) {
      Result result = runRollout(new Fault(0, 0.003, 1.7, false), callsPerSecond, seed);
      completed += result.state() == RolloutState.COMPLETED ? 1 : 0;
    }
    assertTrue(completed >= 98, completed + " of 100 completed");
  }

  /** Guards against a good version that completes late or is taken back by chance. */
  @ParameterizedTest
  @CsvSource({"180", "420", "60"})
  void goodVersionIsCompletedInTime(int callsPerSecond) {
    int completed = 0;
    for (int seed = 0; seed < 200; seed++) {
      Result result = runRollout(new Fault(0, 0.003, 1, false), callsPerSecond, seed);
      completed += result.state() == RolloutState.COMPLETED ? 1 : 0;
    }
    assertTrue(completed >= 198, completed + " of 200 completed");
  }
}
