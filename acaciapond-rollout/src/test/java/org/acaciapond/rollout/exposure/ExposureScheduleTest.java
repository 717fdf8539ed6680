package org.acaciapond.rollout.exposure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ExposureScheduleTest {

  private static final int STEPS = 10_000;

  /**
   * Guards against a schedule that exceeds the limits if a bad version is accepted: with the trial,
   * the raise, and all requests from completion to the deadline.
   */
  @ParameterizedTest
  @CsvSource({
    "0.1, 9, 3300",
    "0.1, 3, 1000",
    "0.1, 56, 12000",
    "0.1, 1, 3000",
    "0.05, 9, 3300",
    "0.3, 2, 400",
    "0.1, 6, 800"
  })
  void acceptedVersionStaysWithinTheLimitsUntilTheDeadline(
      double share, int newTargets, int calls) {
    ExposureSchedule schedule = new ExposureSchedule(new ExposureLimits(share, 50));
    double exposed = 0;
    for (int step = 0; step < STEPS; step++) {
      double fraction = (double) step / STEPS;
      int sharePermille =
          fraction >= schedule.raiseFraction()
              ? 1000
              : schedule.trialSharePermille(fraction, newTargets, calls);
      exposed += sharePermille / 1000.0 * calls / STEPS;
    }
    assertTrue(exposed <= share * calls + 50, exposed + " of " + calls);
  }

  @ParameterizedTest
  @CsvSource({"9, 111, 1", "3, 333, 1", "56, 89, 5", "1, 500, 1", "20, 100, 2"})
  void loadTrialPutsTheFullLoadOnFewTargets(int newTargets, int sharePermille, int targets) {
    ExposureSchedule schedule = new ExposureSchedule(new ExposureLimits(0.1, 50));
    double fraction = schedule.loadTrialStartFraction();
    assertEquals(sharePermille, schedule.trialSharePermille(fraction, newTargets, 5_000));
    assertEquals(targets, ExposureSchedule.targetCount(sharePermille, newTargets));
  }

  @ParameterizedTest
  @CsvSource({"10, 9, 1", "10, 56, 1", "1000, 9, 9", "1000, 0, 0"})
  void shareIsSpreadOverTheTargetsThatItLoads(int sharePermille, int newTargets, int targets) {
    assertEquals(targets, ExposureSchedule.targetCount(sharePermille, newTargets));
  }
}
