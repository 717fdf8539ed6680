package org.acaciapond.mesh.admission;

import java.util.HashMap;
import java.util.Map;

/** Smoothed service times of calls in the target, over all calls and by route. */
public final class ServiceTimes {

  private static final double SMOOTHING_FACTOR = 0.05;
  private static final double DEFAULT_SERVICE_US = 50_000;
  private static final int MAX_ROUTES = 512;

  private final Map<String, Double> byRoute = new HashMap<>();
  private double overallUs;

  /** Adds a measured service time. */
  public void add(String route, double serviceUs) {
    overallUs = overallUs == 0 ? serviceUs : overallUs + SMOOTHING_FACTOR * (serviceUs - overallUs);
    Double current = byRoute.get(route);
    if (current != null) {
      byRoute.put(route, current + SMOOTHING_FACTOR * (serviceUs - current));
    } else if (byRoute.size() < MAX_ROUTES) {
      byRoute.put(route, serviceUs);
    }
  }

  /** Returns the expected service time of a call of a route. */
  public double expectedUs(String route) {
    Double current = byRoute.get(route);
    return current != null ? current : overallUs > 0 ? overallUs : DEFAULT_SERVICE_US;
  }

  /** Returns the smoothed service time of all calls, 0 before the first one. */
  public double overallUs() {
    return overallUs;
  }

  /** Removes all measurements, for a new lifetime of the target. */
  public void clear() {
    byRoute.clear();
    overallUs = 0;
  }
}
