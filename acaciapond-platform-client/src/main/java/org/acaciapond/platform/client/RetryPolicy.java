package org.acaciapond.platform.client;

import java.util.random.RandomGenerator;

/**
 * Bounds of the attempts of one operation.
 *
 * @param maxAttempts most attempts
 * @param attemptTimeoutMs longest wait for the answer to one attempt
 * @param deadlineMs longest time for all attempts
 * @param baseDelayMs upper bound of the first pause; it doubles with each attempt
 * @param maxDelayMs upper bound of every pause
 */
public record RetryPolicy(
    int maxAttempts, long attemptTimeoutMs, long deadlineMs, long baseDelayMs, long maxDelayMs) {

  private static final int MAX_SHIFT = 20;
  private static final int DEFAULT_ATTEMPTS = 4;
  private static final long DEFAULT_BASE_DELAY_MS = 50;
  private static final long DEFAULT_MAX_DELAY_MS = 1_000;

  /** Creates a policy. */
  public RetryPolicy {
    if (maxAttempts < 1 || attemptTimeoutMs < 1 || deadlineMs < 1) {
      throw new IllegalArgumentException("attempts and times must be at least 1");
    }
  }

  /** Returns the usual policy for a time limit of one attempt; the deadline is twice as long. */
  public static RetryPolicy ofAttemptTimeout(long attemptTimeoutMs) {
    return new RetryPolicy(
        DEFAULT_ATTEMPTS,
        attemptTimeoutMs,
        2 * attemptTimeoutMs,
        DEFAULT_BASE_DELAY_MS,
        DEFAULT_MAX_DELAY_MS);
  }

  /**
   * Returns the pause after a failed attempt, drawn from zero to a bound that doubles.
   *
   * <p>The whole range is drawn from, because clients that failed at the same moment would
   * otherwise return at the same moment.
   */
  public long pauseMs(int attempt, RandomGenerator random) {
    long bound = Math.min(maxDelayMs, baseDelayMs << Math.min(attempt - 1, MAX_SHIFT));
    return random.nextLong(bound + 1);
  }
}
