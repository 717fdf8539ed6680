package org.acaciapond.sidecar.call;

import org.acaciapond.common.time.TimeSource;
import org.acaciapond.mesh.route.Route;

/** Time that a request has: until its deadline, and until its answer loses worth. */
final class RequestTimes {

  private static final long MS_NANOS = 1_000_000L;

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

  /** Returns how long ago the request was read. */
  long sinceNanos() {
    return time.nanoTime() - receivedNanos;
  }

  int leftMs() {
    return (int) (leftNanos(limitMs) / MS_NANOS);
  }

  double leftUs() {
    return leftNanos(limitMs) / 1e3;
  }

  int objectiveLeftMs() {
    return (int) (leftNanos(objectiveMs) / MS_NANOS);
  }

  double objectiveLeftUs() {
    return leftNanos(objectiveMs) / 1e3;
  }

  private long leftNanos(int ofMs) {
    return ofMs * MS_NANOS - sinceNanos();
  }
}
