package org.acaciapond.routing.retry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Budget that keeps retries within a tenth of the calls; safe for several threads.
 *
 * <p>It starts empty: at every moment the retries granted are at most a tenth of the calls counted.
 */
public final class RetryBudget {

  private static final long CALLS_PER_RETRY = 10;

  /** Bounds the burst of retries after a long time without failures. */
  private static final long MAX_RETRIES_SAVED = 100;

  private static final long MAX_CREDIT = CALLS_PER_RETRY * MAX_RETRIES_SAVED;

  private final AtomicLong credit = new AtomicLong();

  /** Counts a call that is not itself a retry. */
  public void onCall() {
    if (credit.get() < MAX_CREDIT) {
      credit.incrementAndGet();
    }
  }

  /** Takes one retry from the budget; returns false when it is spent. */
  public boolean tryRetry() {
    while (true) {
      long current = credit.get();
      if (current < CALLS_PER_RETRY) {
        return false;
      }
      if (credit.compareAndSet(current, current - CALLS_PER_RETRY)) {
        return true;
      }
    }
  }
}
