package org.acaciapond.rollout.evidence;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class EvidenceTotalsTest {

  private final EvidenceTotals reporter = new EvidenceTotals();
  private final EvidenceTotals analyzer = new EvidenceTotals();

  private static RouteCounts counts(int calls, int errors) {
    LatencySketch latency = new LatencySketch();
    latency.add(3, calls - errors);
    return new RouteCounts("s", "v2", "r", calls, errors, latency);
  }

  /** Guards against evidence that is lost when another node becomes the analyzer. */
  @Test
  void newAnalyzerLearnsAllCallsSinceTheOrder() {
    reporter.add(List.of(counts(5, 1)));
    reporter.add(List.of(counts(3, 0)));
    assertEquals(List.of(counts(8, 1)), analyzer.replaceBy(reporter.counts()));
  }

  /** Guards against calls that are counted twice when totals follow single reports. */
  @Test
  void totalsAddOnlyWhatWasNotReported() {
    reporter.add(List.of(counts(5, 1)));
    analyzer.add(List.of(counts(5, 1)));
    assertEquals(List.of(), analyzer.replaceBy(reporter.counts()));
    reporter.add(List.of(counts(2, 0)));
    assertEquals(List.of(counts(2, 0)), analyzer.replaceBy(reporter.counts()));
  }

  @Test
  void totalsOfRestartedReporterAreNew() {
    analyzer.add(List.of(counts(5, 1)));
    reporter.add(List.of(counts(2, 0)));
    assertEquals(List.of(counts(2, 0)), analyzer.replaceBy(reporter.counts()));
  }
}
