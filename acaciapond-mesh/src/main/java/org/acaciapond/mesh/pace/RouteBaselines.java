package org.acaciapond.mesh.pace;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Usual service time of each route in one target, against which recent ones are compared. Routes of
 * a target may differ by orders of magnitude, so only the ratio of a service time to the usual one
 * of its route is evidence. Routes that make nested calls are no evidence, as their service time is
 * mostly that of other targets.
 */
final class RouteBaselines {

  private static final double SMOOTHING_FACTOR = 0.02;
  private static final double RECENT_SMOOTHING_FACTOR = 0.2;
  private static final int MIN_SAMPLES = 5;
  private static final int MAX_ROUTES = 512;
  private static final double MAX_RATIO = 10;

  private final Map<String, Baseline> byRoute = new HashMap<>();
  private final Set<String> nestedRoutes = new HashSet<>();
  private double recentSlowdown = 1;

  /** Smoothed service time of one route. */
  private static final class Baseline {
    private double usualUs;
    private int samples;

    void add(double serviceUs) {
      samples++;
      usualUs += Math.max(SMOOTHING_FACTOR, 1.0 / samples) * (serviceUs - usualUs);
    }
  }

  /** Marks a route whose calls make nested calls. */
  void markNested(String route) {
    if (nestedRoutes.size() < MAX_ROUTES) {
      nestedRoutes.add(route);
    }
  }

  boolean isNested(String route) {
    return nestedRoutes.contains(route);
  }

  /**
   * Adds a service time.
   *
   * @param learn whether the usual service time of the route may change
   * @return the service time as a multiple of the usual one, or 0 if it is no evidence
   */
  double add(String route, double serviceUs, boolean learn) {
    Baseline baseline = byRoute.get(route);
    if (baseline == null) {
      if (byRoute.size() >= MAX_ROUTES) {
        return 0;
      }
      baseline = new Baseline();
      byRoute.put(route, baseline);
    }
    boolean known = baseline.samples >= MIN_SAMPLES;
    double ratio = known ? Math.min(MAX_RATIO, serviceUs / Math.max(1, baseline.usualUs)) : 1;
    if (learn || !known) {
      baseline.add(serviceUs);
    }
    if (nestedRoutes.contains(route)) {
      return 0;
    }
    recentSlowdown += RECENT_SMOOTHING_FACTOR * (ratio - recentSlowdown);
    return ratio;
  }

  /** Returns the usual service time of a route, or 0 if it is not known yet. */
  double usualUs(String route) {
    Baseline baseline = byRoute.get(route);
    return baseline == null || baseline.samples < MIN_SAMPLES ? 0 : baseline.usualUs;
  }

  /** Returns the recent service times as a multiple of the usual ones, at least 1. */
  double recentSlowdown() {
    return Math.max(1, recentSlowdown);
  }

  /** Replaces the usual service times by the next ones, after a change of the target's speed. */
  void relearn() {
    byRoute
        .values()
        .forEach(baseline -> baseline.samples = Math.min(baseline.samples, MIN_SAMPLES));
    recentSlowdown = 1;
  }

  /** Forgets all service times, for a new lifetime of the target. */
  void clear() {
    byRoute.clear();
    nestedRoutes.clear();
    recentSlowdown = 1;
  }
}
