package org.acaciapond.routing.retry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Retry budget that limits retries to a tenth of the calls; safe for concurrent use.
 *
 * <p>The budget starts empty, so the retries granted never exceed a tenth of the calls counted.
 */
public final class RetryBudget {

  private static final long CALLS_PER_RETRY = 10;

  /** Largest burst of retries after a long time without failures. */
  private static final long MAX_SAVED_RETRIES = 100;

  private static final long MAX_CREDITS = CALLS_PER_RETRY * MAX_SAVED_RETRIES;

  private final AtomicLong credits = new AtomicLong();

  /** Counts a call that is not itself a retry. */
  public void onCall() {
    if (credits.get() < MAX_CREDITS) {
      credits.incrementAndGet();
    }
  }

  /** Takes one retry from the budget; returns false if the budget is exhausted. */
  public boolean tryRetry() {
    while (true) {
      long current = credits.get();
      if (current < CALLS_PER_RETRY) {
        return false;
      }
      if (credits.compareAndSet(current, current - CALLS_PER_RETRY)) {
        return true;
      }
    }
  }
}
