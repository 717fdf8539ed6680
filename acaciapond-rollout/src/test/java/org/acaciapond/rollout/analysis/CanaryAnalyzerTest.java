package org.acaciapond.rollout.analysis;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.acaciapond.rollout.evidence.EvidenceSummary;
import org.acaciapond.rollout.evidence.LatencySketch;
import org.acaciapond.rollout.evidence.RouteCounts;
import org.junit.jupiter.api.Test;

/** Guards the verdicts on synthetic calls of several witnesses. */
class CanaryAnalyzerTest {

  private static final int SECONDS = 600;
  private static final int WITNESSES = 8;
  private static final int NEW_CALLS = 5;
  private static final int OLD_CALLS = 45;
  private static final double ERRORS = 0.01;

  /** Error share of one call. */
  private interface ErrorShare {
    double at(int second, int witness, boolean toNew);
  }

  /** Guards the false alarm bound of 0.001 a rollout; 2 of 400 would exceed it at 99 in 100. */
  @Test
  void goodVersionIsNotCondemned() {
    int alarms = 0;
    for (int seed = 0; seed < 400; seed++) {
      alarms += run(seed, SECONDS, (second, witness, toNew) -> ERRORS).condemned() ? 1 : 0;
    }
    assertTrue(alarms <= 2, alarms + " false alarms");
  }

  /** Guards against a shared fault being held against the new version. */
  @Property(tries = 40, seed = "1")
  void sharedFaultCondemnsNobody(@ForAll long seed) {
    ErrorShare shared = (second, witness, toNew) -> second > 200 && second < 300 ? 0.4 : ERRORS;
    assertFalse(run(seed, SECONDS, shared).condemned());
  }

  /** Guards against one sick witness condemning a version or holding it back. */
  @Property(tries = 40, seed = "1")
  void oneWitnessCannotCondemn(@ForAll long seed) {
    ErrorShare sick = (second, witness, toNew) -> witness == 0 && toNew ? 0.5 : ERRORS;
    AnalysisResult verdict = run(seed, SECONDS, sick);
    assertFalse(verdict.condemned());
  }

  /** Guards against one sick witness saving a bad version. */
  @Property(tries = 40, seed = "1")
  void oneWitnessCannotSave(@ForAll long seed) {
    ErrorShare bad =
        (second, witness, toNew) -> witness == 0 ? (toNew ? 0 : 0.5) : toNew ? 0.06 : ERRORS;
    assertTrue(run(seed, SECONDS, bad).condemned());
  }

  /** Guards against a long good time hiding a later fault. */
  @Property(tries = 40, seed = "1")
  void laterFaultIsFound(@ForAll long seed) {
    ErrorShare later = (second, witness, toNew) -> toNew && second > 500 ? 0.06 : ERRORS;
    assertTrue(run(seed, SECONDS, later).condemned());
  }

  private static AnalysisResult run(long seed, int seconds, ErrorShare share) {
    SplittableRandom random = new SplittableRandom(seed);
    CanaryAnalyzer judge =
        new CanaryAnalyzer(AnalysisSettings.defaults(seconds), "remit-portal", "v1", "v2");
    for (int second = 0; second < seconds; second++) {
      for (int witness = 0; witness < WITNESSES; witness++) {
        List<RouteCounts> routes = new ArrayList<>();
        routes.add(counts("v1", OLD_CALLS, share.at(second, witness, false), random));
        routes.add(counts("v2", NEW_CALLS, share.at(second, witness, true), random));
        judge.accept(new EvidenceSummary("host-" + witness, "brum-a", 1, second, 1, routes));
      }
      if (judge.verdict().condemned()) {
        break;
      }
    }
    return judge.verdict();
  }

  private static RouteCounts counts(
      String version, int calls, double share, SplittableRandom random) {
    int errors = 0;
    LatencySketch latency = new LatencySketch();
    for (int i = 0; i < calls; i++) {
      if (random.nextDouble() < share) {
        errors++;
      } else {
        latency.add(LatencySketch.bucketOf(20_000 * Math.exp(0.7 * random.nextGaussian())), 1);
      }
    }
    return new RouteCounts("remit-portal", version, "/status", calls, errors, latency);
  }
}
