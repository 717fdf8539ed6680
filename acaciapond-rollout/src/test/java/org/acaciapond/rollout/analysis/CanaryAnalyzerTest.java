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

/** Tests the analysis results for synthetic calls of several reporters. */
class CanaryAnalyzerTest {

  private static final int SECONDS = 600;
  private static final int REPORTERS = 8;
  private static final int NEW_CALLS = 5;
  private static final int OLD_CALLS = 45;
  private static final double ERRORS = 0.01;

  /** Error share of one call. */
  private interface ErrorShare {
    double at(int second, int reporter, boolean toNew);
  }

  /**
   * Guards the false alarm bound of 0.001 per rollout; more than 2 of 400 exceed it at a level of
   * 99%.
   */
  @Test
  void goodVersionIsNotRejected() {
    int alarms = 0;
    for (int seed = 0; seed < 400; seed++) {
      alarms += run(seed, SECONDS, (second, reporter, toNew) -> ERRORS).rejected() ? 1 : 0;
    }
    assertTrue(alarms <= 2, alarms + " false alarms");
  }

  /** Guards against rejecting the new version for a fault of both versions. */
  @Property(tries = 40, seed = "1")
  void sharedFaultRejectsNoVersion(@ForAll long seed) {
    ErrorShare shared = (second, reporter, toNew) -> second > 200 && second < 300 ? 0.4 : ERRORS;
    assertFalse(run(seed, SECONDS, shared).rejected());
  }

  /** Guards against one unhealthy reporter causing a rejection. */
  @Property(tries = 40, seed = "1")
  void oneReporterCannotCauseRejection(@ForAll long seed) {
    ErrorShare unhealthy = (second, reporter, toNew) -> reporter == 0 && toNew ? 0.5 : ERRORS;
    AnalysisResult result = run(seed, SECONDS, unhealthy);
    assertFalse(result.rejected());
  }

  /** Guards against one unhealthy reporter hiding a bad version. */
  @Property(tries = 40, seed = "1")
  void oneReporterCannotPreventRejection(@ForAll long seed) {
    ErrorShare bad =
        (second, reporter, toNew) -> reporter == 0 ? (toNew ? 0 : 0.5) : toNew ? 0.06 : ERRORS;
    assertTrue(run(seed, SECONDS, bad).rejected());
  }

  /** Guards against a long period without faults hiding a later fault. */
  @Property(tries = 40, seed = "1")
  void laterFaultIsFound(@ForAll long seed) {
    ErrorShare later = (second, reporter, toNew) -> toNew && second > 500 ? 0.06 : ERRORS;
    assertTrue(run(seed, SECONDS, later).rejected());
  }

  private static AnalysisResult run(long seed, int seconds, ErrorShare share) {
    SplittableRandom random = new SplittableRandom(seed);
    CanaryAnalyzer analyzer =
        new CanaryAnalyzer(AnalysisSettings.defaults(seconds), "remit-portal", "v1", "v2");
    for (int second = 0; second < seconds; second++) {
      for (int reporter = 0; reporter < REPORTERS; reporter++) {
        List<RouteCounts> routes = new ArrayList<>();
        routes.add(counts("v1", OLD_CALLS, share.at(second, reporter, false), random));
        routes.add(counts("v2", NEW_CALLS, share.at(second, reporter, true), random));
        analyzer.accept(new EvidenceSummary("host-" + reporter, "brum-a", 1, second, 1, routes));
      }
      if (analyzer.result().rejected()) {
        break;
      }
    }
    return analyzer.result();
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
