package org.acaciapond.platform;

import java.util.SplittableRandom;

/**
 * Injector that decides for each request to one store whether the fault of the store affects it.
 */
final class FaultInjector {

  private FaultPlan plan = FaultPlan.NONE;
  private SplittableRandom random = new SplittableRandom(0);

  /** Replaces the plan and reseeds the random generator. */
  synchronized void setPlan(FaultPlan next) {
    plan = next;
    random = new SplittableRandom(next.seed());
  }

  /** Returns the current plan. */
  synchronized FaultPlan plan() {
    return plan;
  }

  /** Returns the fault of the next request, or {@link FaultPlan#NONE}. */
  synchronized FaultPlan drawFault() {
    return random.nextDouble() < plan.probability() ? plan : FaultPlan.NONE;
  }
}
