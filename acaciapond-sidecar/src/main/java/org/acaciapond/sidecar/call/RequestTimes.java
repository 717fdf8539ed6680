package org.acaciapond.sidecar.call;

import org.acaciapond.common.time.TimeSource;
import org.acaciapond.mesh.route.Route;

/** Time left for a request until its deadline and until its latency objective. */
final class RequestTimes {

  private static final long NANOS_PER_MS = 1_000_000L;

  private final TimeSource time;
  private final long receivedNanos;
  private final int limitMs;
  private final int objectiveMs;

  RequestTimes(TimeSource time, long receivedNanos, int limitMs, Route route) {
    this.time = time;
    this.receivedNanos = receivedNanos;
    this.limitMs = limitMs;
    this.objectiveMs = route.objectiveMs() > 0 ? Math.min(route.objectiveMs(), limitMs) : limitMs;
  }

  int limitMs() {
    return limitMs;
  }

  /** Returns the time since the request was received. */
  long elapsedNanos() {
    return time.nanoTime() - receivedNanos;
  }

  int leftMs() {
    return (int) (leftNanos(limitMs) / NANOS_PER_MS);
  }

  double leftUs() {
    return leftNanos(limitMs) / 1e3;
  }

  int objectiveLeftMs() {
    return (int) (leftNanos(objectiveMs) / NANOS_PER_MS);
  }

  double objectiveLeftUs() {
    return leftNanos(objectiveMs) / 1e3;
  }

  private long leftNanos(int totalMs) {
    return totalMs * NANOS_PER_MS - elapsedNanos();
  }
}
