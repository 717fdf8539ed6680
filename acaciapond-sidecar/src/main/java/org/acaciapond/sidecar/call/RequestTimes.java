package org.acaciapond.sidecar.call;

import org.acaciapond.common.time.TimeSource;
import org.acaciapond.mesh.route.Route;

/** Time left for a request until its deadline and until its latency objective. */
final class RequestTimes {

  private static final double MIN_SERVICE_TIMES_LEFT = 3;
  private static final long NANOS_PER_MS = 1_000_000L;

  private final TimeSource time;
  private final long receivedNanos;
  private final int limitMs;
  private final int objectiveMs;

  /**
   * Creates the times of a request.
   *
   * @param firstReceivedNanos when the first try of the request was received, if its client came
   *     back after a refusal. The objective counts from then if it can still be met; the request
   *     would otherwise go before new ones and make them late as well.
   * @param serviceUs mean service time of the route, 0 if unknown
   */
  RequestTimes(
      TimeSource time,
      long receivedNanos,
      long firstReceivedNanos,
      int limitMs,
      Route route,
      double serviceUs) {
    this.time = time;
    this.receivedNanos = receivedNanos;
    this.limitMs = limitMs;
    int fullMs = objectiveMs(route, limitMs);
    int leftMs = fullMs - (int) ((receivedNanos - firstReceivedNanos) / NANOS_PER_MS);
    this.objectiveMs =
        Math.min(limitMs, leftMs * 1_000.0 > MIN_SERVICE_TIMES_LEFT * serviceUs ? leftMs : fullMs);
  }

  /** Returns the latency objective of requests of a route that have the given time in all. */
  static int objectiveMs(Route route, int limitMs) {
    return route.objectiveMs() > 0 ? route.objectiveMs() : limitMs;
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
