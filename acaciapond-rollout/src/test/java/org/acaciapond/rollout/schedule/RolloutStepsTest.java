package org.acaciapond.rollout.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Tests the steps for every number of targets. */
class RolloutStepsTest {

  /** Guards against overloaded new targets, shares that fall and an early share above 5%. */
  @Property(seed = "1")
  void stepsRiseAndNeverOverload(@ForAll @IntRange(min = 1, max = 500) int targets) {
    List<RolloutStep> steps = RolloutSteps.steps(ScheduleSettings.DEFAULTS, targets);
    RolloutStep before = new RolloutStep(0, 0);
    for (RolloutStep step : steps) {
      assertTrue(step.share() > before.share() && step.targets() >= before.targets());
      assertTrue(step.share() * targets / step.targets() <= 1 + 1e-9, steps.toString());
      before = step;
    }
    assertEquals(new RolloutStep(0.95, targets), before);
    assertTrue(steps.get(1).share() <= 0.05);
  }
}
