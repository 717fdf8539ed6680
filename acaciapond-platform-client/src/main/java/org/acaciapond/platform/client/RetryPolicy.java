package org.acaciapond.platform.client;

import java.util.random.RandomGenerator;

/**
 * Limits of the attempts and delays of one operation.
 *
 * @param maxAttempts maximum number of attempts
 * @param attemptTimeoutMs timeout of one attempt
 * @param deadlineMs timeout of all attempts together
 * @param baseDelayMs upper bound of the first pause; it doubles with each attempt
 * @param maxDelayMs upper bound of every pause
 */
public record RetryPolicy(
    int maxAttempts, long attemptTimeoutMs, long deadlineMs, long baseDelayMs, long maxDelayMs) {

  private static final int MAX_DOUBLINGS = 20;
  private static final int DEFAULT_ATTEMPTS = 4;
  private static final long DEFAULT_BASE_DELAY_MS = 50;
  private static final long DEFAULT_MAX_DELAY_MS = 1_000;

  /** Creates a policy. */
  public RetryPolicy {
    if (maxAttempts < 1 || attemptTimeoutMs < 1 || deadlineMs < 1) {
      throw new IllegalArgumentException(
          "maxAttempts, attemptTimeoutMs and deadlineMs must be at least 1");
    }
  }

  /** Returns the default policy for a timeout of one attempt; the deadline is twice as long. */
  public static RetryPolicy ofAttemptTimeout(long attemptTimeoutMs) {
    return new RetryPolicy(
        DEFAULT_ATTEMPTS,
        attemptTimeoutMs,
        2 * attemptTimeoutMs,
        DEFAULT_BASE_DELAY_MS,
        DEFAULT_MAX_DELAY_MS);
  }

  /**
   * Returns the delay after a failed attempt: exponential backoff with full jitter.
   *
   * <p>The delay is drawn from the whole range between zero and the upper bound, because clients
   * that failed at the same moment would otherwise retry at the same moment.
   */
  public long pauseMs(int attempt, RandomGenerator random) {
    long bound = Math.min(maxDelayMs, baseDelayMs << Math.min(attempt - 1, MAX_DOUBLINGS));
    return random.nextLong(bound + 1);
  }
}
