package org.acaciapond.mesh.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * Times of calls by route as a caller sees them, and from them the time after which a call that may
 * be repeated is better tried at a second target.
 */
public final class AttemptLatencies {

  private static final double SMOOTHING = 0.05;
  private static final int MIN_SAMPLES = 20;
  private static final int MAX_ROUTES = 4_096;
  // A call shorter than this many times the mean is not unusual.
  private static final double LEAST_MEANS = 2;
  // The second try has to fit, with some room, before the answer loses worth.
  private static final double SECOND_TRY_MEANS = 1.2;

  private final Map<String, Times> byRoute = new HashMap<>();

  /** Smoothed times of one route. */
  private static final class Times {
    double meanMs;
    double deviationMs;
    double runUs;
    int samples;
  }

  /**
   * Adds a call that was answered.
   *
   * @param ms time as the caller saw it, in milliseconds
   * @param runUs time in the target, in microseconds
   */
  public void add(String route, double ms, double runUs) {
    Times times = byRoute.get(route);
    if (times == null) {
      if (byRoute.size() >= MAX_ROUTES) {
        return;
      }
      times = new Times();
      times.meanMs = ms;
      times.runUs = runUs;
      byRoute.put(route, times);
    }
    times.samples++;
    times.deviationMs += SMOOTHING * (Math.abs(ms - times.meanMs) - times.deviationMs);
    times.meanMs += SMOOTHING * (ms - times.meanMs);
    times.runUs += SMOOTHING * (runUs - times.runUs);
  }

  /** Returns the mean time of a route's calls in their targets in microseconds, 0 when unknown. */
  public double runUs(String route) {
    Times times = byRoute.get(route);
    return times == null ? 0 : times.runUs;
  }

  /**
   * Returns after how many milliseconds a second target is tried, or -1 for never.
   *
   * @param objectiveLeftMs time left until the answer loses worth
   * @param leftMs time left until the deadline
   */
  public int secondTryAfterMs(String route, int objectiveLeftMs, int leftMs) {
    Times times = byRoute.get(route);
    if (times == null || times.samples < MIN_SAMPLES) {
      return -1;
    }
    double unusualMs = Math.max(LEAST_MEANS * times.meanMs, times.meanMs + 2 * times.deviationMs);
    double inTimeMs = objectiveLeftMs - SECOND_TRY_MEANS * times.meanMs;
    double afterMs = Math.max(unusualMs, inTimeMs);
    return afterMs + times.meanMs < leftMs ? (int) Math.ceil(afterMs) : -1;
  }
}
