package org.acaciapond.bench.calls;

import java.util.Random;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongConsumer;

/**
 * Open-loop load: arrivals follow a Poisson schedule of a fixed seed and never wait for answers.
 *
 * <p>The receiver gets the intended time of each arrival, so that a late start counts as latency.
 */
final class OpenLoop {

  private static final double NANOS_PER_S = 1e9;
  private static final long SPIN_NANOS = 60_000;

  private final Random random;
  private final double ratePerS;

  OpenLoop(long seed, double ratePerS) {
    this.random = new Random(seed);
    this.ratePerS = ratePerS;
  }

  /** Starts calls for a time; returns their number. */
  int run(long durationNanos, LongConsumer startCall) {
    long begin = System.nanoTime();
    double offset = 0;
    int calls = 0;
    while (true) {
      offset += -Math.log(1 - random.nextDouble()) / ratePerS * NANOS_PER_S;
      if (offset > durationNanos) {
        return calls;
      }
      long intended = begin + (long) offset;
      waitUntil(intended);
      startCall.accept(intended);
      calls++;
    }
  }

  private static void waitUntil(long nanos) {
    long left;
    while ((left = nanos - System.nanoTime()) > 0) {
      if (left > SPIN_NANOS) {
        LockSupport.parkNanos(left - SPIN_NANOS);
      } else {
        Thread.onSpinWait();
      }
    }
  }
}
