package org.acaciapond.mesh.retry;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {

  private static final long MS = 1_000_000L;

  @Test
  void budgetComesBackAfterTheWindow() {
    RetryBudget budget = new RetryBudget(0.2, 4, 10_000);
    assertTrue(budget.tryRepeat("s", 1, 0));
    assertTrue(budget.tryRepeat("s", 1, 0));
    assertFalse(budget.tryRepeat("s", 1, 5_000 * MS));
    assertTrue(budget.tryRepeat("s", 1, 11_000 * MS));
  }

  @Test
  void repeatsThatCannotBePreventedUseUpTheBudget() {
    RetryBudget budget = new RetryBudget(0.2, 4, 10_000);
    budget.repeated("s", 0);
    budget.repeated("s", 0);
    assertFalse(budget.tryRepeat("s", 1, 0));
  }

  /**
   * Guards against a fleet that repeats more than the contract allows while its nodes cannot talk:
   * each node asks for far more than its part, and the sum is checked in every window.
   */
  @Property(tries = 60, seed = "1")
  void sumOverNodesStaysWithinTheBudget(
      @ForAll @IntRange(min = 1, max = 12) int nodes, @ForAll long seed) {
    Random random = new Random(seed);
    double ratio = 0.2;
    double slack = 62;
    List<RetryBudget> budgets = new ArrayList<>();
    for (int i = 0; i < nodes; i++) {
      budgets.add(new RetryBudget(ratio, slack, 10_000));
    }
    List<Long> requests = new ArrayList<>();
    List<Long> repeats = new ArrayList<>();
    for (long ms = 0; ms < 30_000; ms += 20) {
      RetryBudget budget = budgets.get(random.nextInt(nodes));
      if (random.nextInt(3) > 0) {
        budget.request("s", ms * MS);
        requests.add(ms);
      }
      if (budget.tryRepeat("s", nodes, ms * MS)) {
        repeats.add(ms);
      }
    }
    for (long start = 0; start < 20_000; start += 500) {
      long from = start;
      long inWindow = repeats.stream().filter(at -> at >= from && at < from + 10_000).count();
      long asked = requests.stream().filter(at -> at >= from - 5_000 && at < from + 10_000).count();
      assertTrue(inWindow <= ratio * asked + slack + 1, "repeats " + inWindow);
    }
  }

  /**
   * Guards against repeats of one service that make calls at another: all repeated runs are at one
   * node, which cannot prevent their calls, while every other node uses its whole part.
   */
  @Test
  void callsOfRepeatedRunsFitBesideOwnRepeats() {
    List<RetryBudget> budgets = new ArrayList<>();
    for (int i = 0; i < 9; i++) {
      budgets.add(new RetryBudget(0.2, 58, 10_000));
    }
    int callerRequests = 0;
    int callerRepeats = 0;
    int requests = 0;
    int repeats = 0;
    for (long ms = 0; ms < 10_000; ms++) {
      for (int node = 0; node < 9; node++) {
        RetryBudget budget = budgets.get(node);
        long now = ms * MS;
        if ((ms + node) % 14 == 0) {
          budget.request("caller", now);
          callerRequests++;
          // Each run calls the other service once; a repeated run does so at the first node.
          budget.request("called", now);
          requests++;
          if (budget.tryRepeat("caller", 9, now)) {
            callerRepeats++;
            budgets.get(0).request("called", now);
            budgets.get(0).repeated("called", now);
            requests++;
            repeats++;
          }
        }
        if (budget.tryRepeat("called", 9, now)) {
          repeats++;
        }
      }
    }
    assertTrue(callerRepeats <= 0.2 * callerRequests + 58);
    assertTrue(repeats <= 0.2 * requests + 58, repeats + " repeats of " + requests);
  }
}
