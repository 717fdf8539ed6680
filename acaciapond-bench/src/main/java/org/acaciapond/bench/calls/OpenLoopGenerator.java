package org.acaciapond.bench.calls;

import java.util.Random;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongConsumer;

/**
 * Generator of open-loop load: calls arrive as a Poisson process with a fixed seed and never wait
 * for responses.
 *
 * <p>The callback receives the intended start time of each call, so that a delayed start counts as
 * latency.
 */
final class OpenLoopGenerator {

  private static final double NANOS_PER_S = 1e9;
  private static final long SPIN_THRESHOLD_NANOS = 60_000;

  private final Random random;
  private final double ratePerS;

  OpenLoopGenerator(long seed, double ratePerS) {
    this.random = new Random(seed);
    this.ratePerS = ratePerS;
  }

  /** Starts calls for a given duration; returns the number of calls. */
  int run(long durationNanos, LongConsumer startCall) {
    long startNanos = System.nanoTime();
    double offsetNanos = 0;
    int calls = 0;
    while (true) {
      offsetNanos += -Math.log(1 - random.nextDouble()) / ratePerS * NANOS_PER_S;
      if (offsetNanos > durationNanos) {
        return calls;
      }
      long intendedNanos = startNanos + (long) offsetNanos;
      waitUntil(intendedNanos);
      startCall.accept(intendedNanos);
      calls++;
    }
  }

  private static void waitUntil(long deadlineNanos) {
    long remainingNanos;
    while ((remainingNanos = deadlineNanos - System.nanoTime()) > 0) {
      if (remainingNanos > SPIN_THRESHOLD_NANOS) {
        LockSupport.parkNanos(remainingNanos - SPIN_THRESHOLD_NANOS);
      } else {
        Thread.onSpinWait();
      }
    }
  }
}
