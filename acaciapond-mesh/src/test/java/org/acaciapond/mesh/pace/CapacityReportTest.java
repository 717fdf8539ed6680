package org.acaciapond.mesh.pace;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against status messages to all nodes at each small change of the limit. */
class CapacityReportTest {

  @ParameterizedTest
  @CsvSource({
    "OPEN, 16, 1000, false",
    "OPEN, 13, 1000, false",
    "OPEN, 12, 1000, true",
    "LIMITED, 15, 1000, true",
    "SILENT, 1, 100, false",
    "SILENT, 1, 300, true"
  })
  void reportsNoticeableChangesAndChangesOfStateNotTooOften(
      PaceState state, int capacity, long afterMs, boolean due) {
    CapacityReport report = new CapacityReport(0);
    report.recordReported(PaceState.OPEN, 16, 0);
    assertEquals(due, report.isDue(state, capacity, afterMs * 1_000_000L));
  }
}
