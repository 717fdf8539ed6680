package org.acaciapond.protocol.transport;

import java.util.random.RandomGenerator;

/** Exponential back-off for connection attempts; the upper half of each delay is random jitter. */
public final class ReconnectBackoff {

  private static final long INITIAL_DELAY_MS = 200;
  private static final long MAX_DELAY_MS = 10_000;
  private static final int MAX_DOUBLINGS = 16;

  private final RandomGenerator random;
  private int failures;

  /** Creates a back-off in its initial state. */
  public ReconnectBackoff(RandomGenerator random) {
    this.random = random;
  }

  /** Records a failure and returns the delay before the next attempt, in milliseconds. */
  public long nextDelayMs() {
    long ceilingMs = Math.min(MAX_DELAY_MS, INITIAL_DELAY_MS << Math.min(failures, MAX_DOUBLINGS));
    failures++;
    return ceilingMs / 2 + random.nextLong(ceilingMs / 2 + 1);
  }

  /** Resets the delay after a success. */
  public void reset() {
    failures = 0;
  }
}
