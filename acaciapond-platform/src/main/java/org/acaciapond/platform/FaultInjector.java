package org.acaciapond.platform;

import java.util.SplittableRandom;

/** Decision, for each request to one store, whether the store's fault affects it. */
final class FaultInjector {

  private FaultPlan plan = FaultPlan.NONE;
  private SplittableRandom random = new SplittableRandom(0);

  /** Replaces the plan and restarts its random sequence. */
  synchronized void set(FaultPlan next) {
    plan = next;
    random = new SplittableRandom(next.seed());
  }

  /** Returns the plan. */
  synchronized FaultPlan plan() {
    return plan;
  }

  /** Returns the fault of the next request. */
  synchronized FaultPlan draw() {
    return random.nextDouble() < plan.probability() ? plan : FaultPlan.NONE;
  }
}
