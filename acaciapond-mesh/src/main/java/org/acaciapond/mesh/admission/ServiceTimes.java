package org.acaciapond.mesh.admission;

import java.util.HashMap;
import java.util.Map;

/** Smoothed times of calls in the target, together and by route. */
public final class ServiceTimes {

  private static final double SMOOTHING = 0.05;
  private static final double INITIAL_US = 50_000;
  private static final int MAX_ROUTES = 512;

  private final Map<String, Double> byRoute = new HashMap<>();
  private double allUs;

  /** Adds a measured time. */
  public void add(String route, double us) {
    allUs = allUs == 0 ? us : allUs + SMOOTHING * (us - allUs);
    Double held = byRoute.get(route);
    if (held != null) {
      byRoute.put(route, held + SMOOTHING * (us - held));
    } else if (byRoute.size() < MAX_ROUTES) {
      byRoute.put(route, us);
    }
  }

  /** Returns the expected time of a call of a route. */
  public double expectedUs(String route) {
    Double held = byRoute.get(route);
    return held != null ? held : allUs > 0 ? allUs : INITIAL_US;
  }

  /** Returns the expected time of any call, 0 before the first one. */
  public double overallUs() {
    return allUs;
  }

  /** Forgets everything, for a new lifetime of the target. */
  public void clear() {
    byRoute.clear();
    allUs = 0;
  }
}
