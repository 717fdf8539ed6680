package org.acaciapond.protocol.transport;

import java.util.random.RandomGenerator;

/** Delay before the next attempt to connect: doubled at each failure, with full jitter. */
public final class ReconnectBackoff {

  private static final long FIRST_MS = 200;
  private static final long MAX_MS = 10_000;
  private static final int MAX_DOUBLINGS = 16;

  private final RandomGenerator random;
  private int failures;

  /** Creates a back-off without failures. */
  public ReconnectBackoff(RandomGenerator random) {
    this.random = random;
  }

  /** Notes a failure and returns the delay before the next attempt. */
  public long nextDelayMs() {
    long ceilingMs = Math.min(MAX_MS, FIRST_MS << Math.min(failures, MAX_DOUBLINGS));
    failures++;
    return ceilingMs / 2 + random.nextLong(ceilingMs / 2 + 1);
  }

  /** Notes a success. */
  public void reset() {
    failures = 0;
  }
}
