package org.acaciapond.mesh.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * Smoothed latencies of attempts by route as the calling node measures them, and the delay after
 * which an idempotent call is sent to a second target (hedged).
 */
public final class AttemptLatencies {

  private static final double SMOOTHING_FACTOR = 0.05;
  private static final int MIN_SAMPLES = 20;
  private static final int MAX_ROUTES = 4_096;
  // A call is not hedged before it has lasted this multiple of the mean latency.
  private static final double MIN_HEDGE_DELAY_MEANS = 2;
  // Time reserved for a hedged attempt before the latency objective, in multiples of the mean
  // latency.
  private static final double HEDGED_ATTEMPT_MEANS = 1.2;

  private final Map<String, RouteLatencies> byRoute = new HashMap<>();

  /** Smoothed latencies of one route. */
  private static final class RouteLatencies {
    double meanMs;
    double deviationMs;
    double serviceUs;
    int samples;
  }

  /**
   * Records an attempt that was answered.
   *
   * @param latencyMs latency measured by the calling node, in milliseconds
   * @param serviceUs service time in the target, in microseconds
   */
  public void record(String route, double latencyMs, double serviceUs) {
    RouteLatencies latencies = byRoute.get(route);
    if (latencies == null) {
      if (byRoute.size() >= MAX_ROUTES) {
        return;
      }
      latencies = new RouteLatencies();
      latencies.meanMs = latencyMs;
      latencies.serviceUs = serviceUs;
      byRoute.put(route, latencies);
    }
    latencies.samples++;
    latencies.deviationMs +=
        SMOOTHING_FACTOR * (Math.abs(latencyMs - latencies.meanMs) - latencies.deviationMs);
    latencies.meanMs += SMOOTHING_FACTOR * (latencyMs - latencies.meanMs);
    latencies.serviceUs += SMOOTHING_FACTOR * (serviceUs - latencies.serviceUs);
  }

  /** Returns the mean service time of a route in microseconds, 0 if unknown. */
  public double meanServiceUs(String route) {
    RouteLatencies latencies = byRoute.get(route);
    return latencies == null ? 0 : latencies.serviceUs;
  }

  /**
   * Returns the delay until the hedged attempt in milliseconds, or -1 for no such attempt.
   *
   * @param objectiveLeftMs time left until the latency objective
   * @param leftMs time left until the deadline
   */
  public int hedgeDelayMs(String route, int objectiveLeftMs, int leftMs) {
    RouteLatencies latencies = byRoute.get(route);
    if (latencies == null || latencies.samples < MIN_SAMPLES) {
      return -1;
    }
    double unusualMs =
        Math.max(
            MIN_HEDGE_DELAY_MEANS * latencies.meanMs, latencies.meanMs + 2 * latencies.deviationMs);
    double latestUsefulMs = objectiveLeftMs - HEDGED_ATTEMPT_MEANS * latencies.meanMs;
    double delayMs = Math.max(unusualMs, latestUsefulMs);
    return delayMs + latencies.meanMs < leftMs ? (int) Math.ceil(delayMs) : -1;
  }
}
