package org.acaciapond.rollout.exposure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ExposureBudgetTest {

  @Test
  void callsAreAllowedUpToTheShareOfTheAnsweredOnes() {
    ExposureBudget budget = new ExposureBudget(0.1);
    assertFalse(budget.allowsCall());
    for (int i = 0; i < 10; i++) {
      budget.recordAnswer();
    }
    assertTrue(budget.allowsCall());
    budget.recordExposure();
    assertFalse(budget.allowsCall());
    budget.recordRefusal();
    assertTrue(budget.allowsCall());
  }

  @Test
  void callBeyondTheBudgetIsCountedAsViolation() {
    ExposureBudget budget = new ExposureBudget(0.1);
    budget.recordExposure();
    assertEquals(1, budget.violations());
    assertEquals(1, budget.exposedCalls());
  }

  /**
   * Guards against more calls to an unproven version than the limits allow for all nodes together,
   * while nodes are granted different shares by several analyzers and restart with empty budgets.
   */
  @Property(tries = 200, seed = "4211")
  void allNodesTogetherStayWithinTheLimits(
      @ForAll @IntRange(min = 1, max = 40) int nodes,
      @ForAll @DoubleRange(min = 0.01, max = 0.5) double share,
      @ForAll long seed) {
    ExposureLimits limits = new ExposureLimits(share, 50);
    Random random = new Random(seed);
    List<ExposureBudget> budgets = new ArrayList<>();
    for (int node = 0; node < nodes; node++) {
      budgets.add(createBudget(limits, nodes));
    }
    int exposed = 0;
    int calls = 5_000;
    for (int call = 0; call < calls; call++) {
      int node = random.nextInt(nodes);
      if (random.nextInt(500) == 0) {
        budgets.set(node, createBudget(new ExposureLimits(share, 0), nodes));
      }
      ExposureBudget budget = budgets.get(node);
      double granted = node % 2 == 0 ? 1 : random.nextDouble();
      if (random.nextDouble() < granted && budget.allowsCall()) {
        budget.recordExposure();
        exposed++;
      }
      budget.recordAnswer();
    }
    assertTrue(exposed <= share * calls + 50, exposed + " of " + calls);
    budgets.forEach(budget -> assertEquals(0, budget.violations()));
  }

  private static ExposureBudget createBudget(ExposureLimits limits, int nodes) {
    ExposureBudget budget = new ExposureBudget(limits.share());
    budget.setSlackCalls(limits.slackCallsPerNode(nodes));
    return budget;
  }
}
