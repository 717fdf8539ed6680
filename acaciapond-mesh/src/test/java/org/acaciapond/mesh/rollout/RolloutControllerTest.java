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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RolloutControllerTest {

  private static final int DURATION_MS = 14_000;
  private static final String[] DOMAINS = {"z1", "z2", "z3"};

  /** Fault of the new version: when it shows, on which share of calls, how much slower. */
  private record Fault(int afterMs, double errorShare, double slowFactor, boolean oneRoute) {}

  /** What a move came to. */
  private record Result(RolloutState state, int endMs, int newCalls, int badCalls, int calls) {}

  private static Result play(Fault fault, int callsPerSecond, long seed) {
    Random random = new Random(seed);
    RolloutController judge =
        new RolloutController(
            new RolloutOrder("s", "v2", DURATION_MS, 1), "v1", new RolloutSteps(0.1));
    int newCalls = 0;
    int bad = 0;
    int calls = 0;
    for (int ms = 0; ms < DURATION_MS; ms += RolloutController.INTERVAL_MS) {
      Map<String, Map<String, int[]>> counts = new HashMap<>();
      Map<String, LatencySketch> latency = new HashMap<>();
      int arrivals = callsPerSecond * RolloutController.INTERVAL_MS / 1000;
      for (int i = 0; i < arrivals; i++) {
        String domain = DOMAINS[random.nextInt(DOMAINS.length)];
        String route = random.nextInt(3) == 0 ? "orders" : "views";
        boolean toNew = random.nextInt(1000) < judge.sharePermille();
        boolean struck =
            toNew && ms >= fault.afterMs && (!fault.oneRoute || route.equals("orders"));
        double us = 60_000 * Math.exp(0.5 * random.nextGaussian());
        us *= struck ? fault.slowFactor : 1;
        us = toNew ? RolloutController.comparedUs(us) : us;
        String version = toNew ? "v2" : "v1";
        final boolean error = random.nextDouble() < (struck ? fault.errorShare : 0.003);
        int[] cell =
            counts
                .computeIfAbsent(domain, key -> new HashMap<>())
                .computeIfAbsent(version + "/" + route, key -> new int[2]);
        cell[0]++;
        cell[1] += error ? 1 : 0;
        if (!error) {
          latency
              .computeIfAbsent(domain + "/" + version + "/" + route, key -> new LatencySketch())
              .add(LatencySketch.bucketOf(us), 1);
        }
        calls++;
        newCalls += toNew ? 1 : 0;
        bad += struck && (error || fault.slowFactor > 1) ? 1 : 0;
      }
      for (String domain : counts.keySet()) {
        List<RouteCounts> reported = new ArrayList<>();
        counts
            .get(domain)
            .forEach(
                (key, cell) -> {
                  String[] names = key.split("/");
                  reported.add(
                      new RouteCounts(
                          "s",
                          names[0],
                          names[1],
                          cell[0],
                          cell[1],
                          latency.getOrDefault(domain + "/" + key, new LatencySketch())));
                });
        judge.accept(domain, ms, reported);
      }
      judge.decide(ms);
      if (judge.state() != RolloutState.RUNNING) {
        return new Result(judge.state(), ms, newCalls, bad, calls);
      }
    }
    return new Result(judge.state(), DURATION_MS, newCalls, bad, calls);
  }

  /** Guards against a bad version that stays, or that gets more than an unproved one may get. */
  @ParameterizedTest
  @CsvSource({
    "0, 0.5, 1, false",
    "0, 0.33, 1, true",
    "2500, 0.4, 1, false",
    "3000, 0.5, 1, true",
    "0, 0, 8, false",
    "2000, 0, 8, true"
  })
  void badVersionIsTakenBackWithinItsShare(
      int afterMs, double errorShare, double slowFactor, boolean oneRoute) {
    Fault fault = new Fault(afterMs, errorShare, slowFactor, oneRoute);
    for (int callsPerSecond : new int[] {180, 420}) {
      for (int seed = 0; seed < 40; seed++) {
        Result result = play(fault, callsPerSecond, seed);
        String seen = fault + " at " + callsPerSecond + "/s seed " + seed + ": " + result;
        assertEquals(RolloutState.TAKEN_BACK, result.state(), seen);
        assertTrue(result.newCalls() <= 0.1 * callsPerSecond * DURATION_MS / 1000 + 50, seen);
      }
    }
  }

  /** Guards against a good version that is taken back because its first targets are slow ones. */
  @ParameterizedTest
  @CsvSource({"180", "420"})
  void versionOnSlowerTargetsIsCompleted(int callsPerSecond) {
    int completed = 0;
    for (int seed = 0; seed < 100; seed++) {
      Result result = play(new Fault(0, 0.003, 1.7, false), callsPerSecond, seed);
      completed += result.state() == RolloutState.COMPLETED ? 1 : 0;
    }
    assertTrue(completed >= 98, completed + " of 100 completed");
  }

  /** Guards against a good version that is late or is taken back by chance. */
  @ParameterizedTest
  @CsvSource({"180", "420", "60"})
  void goodVersionIsCompletedInTime(int callsPerSecond) {
    int completed = 0;
    for (int seed = 0; seed < 200; seed++) {
      Result result = play(new Fault(0, 0.003, 1, false), callsPerSecond, seed);
      completed += result.state() == RolloutState.COMPLETED ? 1 : 0;
    }
    assertTrue(completed >= 198, completed + " of 200 completed");
  }
}
