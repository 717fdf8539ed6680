package org.acaciapond.bench.pace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays the load of 1.3 times a target's slots and checks what callers get at the pace of the
 * target and with a fixed limit: callers of a healthy target must lose nothing by the pace, and
 * those of one in trouble must lose less.
 */
class PaceRunTest {

  private static final int RUNS = 5;

  private static PaceCase named(String name) {
    return PaceCase.all().stream()
        .filter(test -> test.name().equals(name))
        .findFirst()
        .orElseThrow();
  }

  private static double mean(
      String name, boolean paced, java.util.function.ToDoubleFunction<PaceResult> value) {
    return LongStream.rangeClosed(1, RUNS)
        .mapToObj(seed -> new PaceRun(named(name), paced, seed).run())
        .mapToDouble(value)
        .average()
        .orElseThrow();
  }

  static Stream<PaceCase> healthyCases() {
    return PaceCase.all().stream().filter(test -> test.trouble() == PaceCase.Trouble.NONE);
  }

  @ParameterizedTest
  @MethodSource("healthyCases")
  void healthyTargetIsNotThrottled(PaceCase test) {
    for (long seed = 1; seed <= RUNS; seed++) {
      assertEquals(new PaceRun(test, false, seed).run(), new PaceRun(test, true, seed).run());
    }
  }

  @Test
  void coldTargetStaysBelowTheBoundAndServesMore() {
    assertTrue(mean("cold", false, PaceResult::crashes) > 0, "the fixed limit is no comparison");
    double bound = PaceCase.COLD_RATE_PER_S * PaceCase.COLD_OVER_FACTOR + PaceCase.COLD_SLACK;
    for (long seed = 1; seed <= RUNS; seed++) {
      PaceResult result = new PaceRun(named("cold"), true, seed).run();
      assertEquals(0, result.crashes());
      assertTrue(result.mostInSecond() <= bound, "most in a second: " + result.mostInSecond());
    }
    assertTrue(
        mean("cold", true, PaceResult::servedInTime)
            > mean("cold", false, PaceResult::servedInTime));
  }

  @Test
  void silentTargetSwallowsFewCallsThatMayNotBeRepeated() {
    assertTrue(
        mean("silent", true, PaceResult::lostForGood)
            <= mean("silent", false, PaceResult::lostForGood) / 2);
    assertTrue(
        mean("silent", true, PaceResult::servedInTime)
            >= mean("silent", false, PaceResult::servedInTime));
    assertTrue(
        mean("silent", true, PaceResult::untilFullS)
            <= mean("silent", false, PaceResult::untilFullS));
  }

  @ParameterizedTest
  @ValueSource(strings = {"half, refuses", "half, resets"})
  void targetThatIsFullGetsFewerCalls(String name) {
    assertTrue(
        mean(name, true, PaceRunTest::notRunOrLost)
            <= mean(name, false, PaceRunTest::notRunOrLost) / 2);
  }

  private static double notRunOrLost(PaceResult result) {
    return result.refusedByTarget() + result.lost();
  }

  @ParameterizedTest
  @ValueSource(strings = {"slow", "slow, half load", "refuses at any load", "down", "half, hangs"})
  void troubleThatDoesNotDependOnTheLoadCostsCallersNothing(String name) {
    double fixed = mean(name, false, PaceResult::servedInTime);
    assertTrue(mean(name, true, PaceResult::servedInTime) >= 0.97 * fixed);
  }
}
