package org.acaciapond.rollout.analysis;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.acaciapond.rollout.evidence.LatencySketch;
import org.acaciapond.rollout.evidence.RouteCounts;
import org.junit.jupiter.api.Test;

class NonInferiorityAnalyzerTest {

  private final NonInferiorityAnalyzer analyzer = new NonInferiorityAnalyzer("s", "v1", "v2");

  private static RouteCounts counts(
      String version, String route, int calls, int errors, double latencyUs) {
    LatencySketch latency = new LatencySketch();
    for (int i = 0; i < calls - errors; i++) {
      // Spread over a factor of four.
      latency.add(LatencySketch.bucketOf(latencyUs * Math.pow(4, (double) i / calls)), 1);
    }
    return new RouteCounts("s", version, route, calls, errors, latency);
  }

  @Test
  void versionWithoutCallsIsNotAccepted() {
    analyzer.add("d1", List.of(counts("v1", "r", 500, 2, 50_000)));
    assertEquals(
        List.of("errors on all routes", "latency on all routes"),
        analyzer.openQuestionsOfAllRoutes());
  }

  @Test
  void versionLikeTheOldOneIsAccepted() {
    analyzer.add(
        "d1", List.of(counts("v1", "r", 500, 2, 50_000), counts("v2", "r", 40, 0, 25_000)));
    assertEquals(List.of(), analyzer.openQuestions());
  }

  /** Guards against a version that is accepted for lack of evidence against it. */
  @Test
  void fewCallsAreNotEnough() {
    analyzer.add("d1", List.of(counts("v1", "r", 500, 2, 50_000), counts("v2", "r", 4, 0, 25_000)));
    assertFalse(analyzer.openQuestions().isEmpty());
  }

  @Test
  void slowVersionIsNotAccepted() {
    analyzer.add(
        "d1", List.of(counts("v1", "r", 500, 2, 50_000), counts("v2", "r", 60, 0, 100_000)));
    assertTrue(analyzer.openQuestions().contains("latency on r"), "60 calls, twice as slow");
  }

  /** Guards against a fault of one route that is outvoted by the calls of the others. */
  @Test
  void faultOnOneRouteIsNotAccepted() {
    analyzer.add(
        "d1",
        List.of(
            counts("v1", "r", 900, 2, 50_000),
            counts("v1", "q", 100, 0, 50_000),
            counts("v2", "r", 200, 0, 25_000),
            counts("v2", "q", 20, 6, 25_000)));
    assertEquals(List.of("errors on q"), analyzer.openQuestions());
  }

  /** Guards against errors of a reporter's own making that are held against the new version. */
  @Test
  void errorsThatBothVersionsShareDoNotCount() {
    List<RouteCounts> sick = new ArrayList<>();
    sick.add(counts("v1", "r", 300, 90, 50_000));
    sick.add(counts("v2", "r", 20, 6, 25_000));
    analyzer.add("sick", sick);
    analyzer.add(
        "d1", List.of(counts("v1", "r", 600, 2, 50_000), counts("v2", "r", 50, 0, 25_000)));
    assertEquals(List.of(), analyzer.openQuestions());
  }
}
