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
  void budgetIsAvailableAgainAfterTheWindow() {
    RetryBudget budget = new RetryBudget(0.2, 4, 10_000);
    assertTrue(budget.tryRetry("s", 1, 0));
    assertTrue(budget.tryRetry("s", 1, 0));
    assertFalse(budget.tryRetry("s", 1, 5_000 * MS));
    assertTrue(budget.tryRetry("s", 1, 11_000 * MS));
  }

  @Test
  void recordedRetriesUseUpTheBudget() {
    RetryBudget budget = new RetryBudget(0.2, 4, 10_000);
    budget.recordRetry("s", 0);
    budget.recordRetry("s", 0);
    assertFalse(budget.tryRetry("s", 1, 0));
  }

  /**
   * Guards against more retries of all nodes together than the budget allows while nodes cannot
   * communicate. Each node requests far more retries than its share; every window is checked.
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
    List<Long> retries = new ArrayList<>();
    for (long ms = 0; ms < 30_000; ms += 20) {
      RetryBudget budget = budgets.get(random.nextInt(nodes));
      if (random.nextInt(3) > 0) {
        budget.recordRequest("s", ms * MS);
        requests.add(ms);
      }
      if (budget.tryRetry("s", nodes, ms * MS)) {
        retries.add(ms);
      }
    }
    for (long start = 0; start < 20_000; start += 500) {
      long from = start;
      long inWindow = retries.stream().filter(at -> at >= from && at < from + 10_000).count();
      long recentRequests =
          requests.stream().filter(at -> at >= from - 5_000 && at < from + 10_000).count();
      assertTrue(inWindow <= ratio * recentRequests + slack + 1, "retries " + inWindow);
    }
  }

  /**
   * Guards against exceeding the budget by nested calls of retried calls. All retried calls are
   * processed at one node, which cannot prevent their nested calls, while every other node uses its
   * whole share.
   */
  @Test
  void nestedCallsOfRetriedCallsFitIntoTheBudget() {
    List<RetryBudget> budgets = new ArrayList<>();
    for (int i = 0; i < 9; i++) {
      budgets.add(new RetryBudget(0.2, 58, 10_000));
    }
    int callerRequests = 0;
    int callerRetries = 0;
    int requests = 0;
    int retries = 0;
    for (long ms = 0; ms < 10_000; ms++) {
      for (int node = 0; node < 9; node++) {
        RetryBudget budget = budgets.get(node);
        long now = ms * MS;
        if ((ms + node) % 14 == 0) {
          budget.recordRequest("caller", now);
          callerRequests++;
          // Each call makes one nested call; that of a retried call is made through the first node.
          budget.recordRequest("called", now);
          requests++;
          if (budget.tryRetry("caller", 9, now)) {
            callerRetries++;
            budgets.get(0).recordRequest("called", now);
            budgets.get(0).recordRetry("called", now);
            requests++;
            retries++;
          }
        }
        if (budget.tryRetry("called", 9, now)) {
          retries++;
        }
      }
    }
    assertTrue(callerRetries <= 0.2 * callerRequests + 58);
    assertTrue(retries <= 0.2 * requests + 58, retries + " retries of " + requests);
  }

  /**
   * Guards against exceeding the budget of a service that is called several times by each request,
   * whose callers use their whole budget as well: nested calls of retried calls are added to the
   * retries that were allowed before them.
   */
  @Test
  void severalNestedCallsOfEachRetriedCallFitIntoTheBudget() {
    Random random = new Random(7);
    double slack = 64;
    int nodes = 12;
    List<RetryBudget> budgets = new ArrayList<>();
    for (int i = 0; i < nodes; i++) {
      budgets.add(new RetryBudget(0.2, slack, 10_000));
    }
    int requests = 0;
    int retries = 0;
    for (long ms = 0; ms < 10_000; ms += 4) {
      long now = ms * MS;
      RetryBudget budget = budgets.get(random.nextInt(nodes));
      budget.recordRequest("caller", now);
      boolean retried = budget.tryRetry("caller", nodes, now);
      for (int run = 0; run < (retried ? 2 : 1); run++) {
        RetryBudget atTarget = budgets.get(random.nextInt(nodes));
        for (int call = 0; call < (random.nextDouble() < 0.7 ? 2 : 0); call++) {
          atTarget.recordRequest("called", now);
          requests++;
          if (run > 0) {
            atTarget.recordRetry("called", now);
            retries++;
          }
          retries += atTarget.tryRetry("called", nodes, now) ? 1 : 0;
        }
      }
    }
    assertTrue(retries <= 0.2 * requests + slack, retries + " retries of " + requests);
  }
}
