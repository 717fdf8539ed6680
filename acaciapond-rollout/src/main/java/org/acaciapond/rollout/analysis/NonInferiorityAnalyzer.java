package org.acaciapond.rollout.analysis;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.acaciapond.rollout.evidence.LatencySketch;
import org.acaciapond.rollout.evidence.RouteCounts;

/**
 * Analyzer that accepts a new version only if its calls are evidence that it is as good as the old
 * version. For errors and for slow calls, the log likelihood ratio of a harmful version to a
 * tolerable one has to fall below a limit, for all routes together and for each route with a
 * noticeable share of the calls. Without sufficient calls the version is not accepted.
 */
public final class NonInferiorityAnalyzer {

  private static final double ACCEPT_ALL_ROUTES_NATS = 2.5;
  private static final double ACCEPT_ROUTE_ERRORS_NATS = 0.8;
  private static final double ACCEPT_ROUTE_LATENCY_NATS = 0.5;
  // Routes with a lower share of the old version's calls are tested as part of all routes only.
  private static final double MIN_ROUTE_SHARE = 0.05;
  private static final double TOLERATED_ADDED_ERROR_SHARE = 0.04;
  private static final double HARMFUL_ADDED_ERROR_SHARE = 0.2;
  private static final double MAX_TOLERATED_ERROR_SHARE = 0.8;
  private static final double PRIOR_CALLS = 20;
  private static final double PRIOR_ERRORS = 0.2;
  private static final double SLOW_SHARE = 0.25;
  private static final double MIN_SLOW_SHARE = 0.02;
  private static final double MAX_SLOW_SHARE = 0.95;
  private static final int MIN_LATENCY_CALLS = 20;
  // Three buckets are a factor of 1.5 beyond the tolerated slowdown.
  private static final int HARMFUL_SLOWDOWN_BUCKETS = 3;

  private final String service;
  private final String oldVersion;
  private final String newVersion;
  private final Map<String, Route> routes = new LinkedHashMap<>();

  /** Calls and errors of both versions that one reporter counted. */
  private static final class Counts {
    int oldCalls;
    int oldErrors;
    int newCalls;
    int newErrors;
  }

  /** Evidence about one route. */
  private static final class Route {
    final Map<String, Counts> reporters = new HashMap<>();
    final LatencySketch oldLatency = new LatencySketch();
    final LatencySketch newLatency = new LatencySketch();

    int oldCalls() {
      return reporters.values().stream().mapToInt(each -> each.oldCalls).sum();
    }

    int oldErrors() {
      return reporters.values().stream().mapToInt(each -> each.oldErrors).sum();
    }
  }

  /** Creates an analyzer without evidence. */
  public NonInferiorityAnalyzer(String service, String oldVersion, String newVersion) {
    this.service = service;
    this.oldVersion = oldVersion;
    this.newVersion = newVersion;
  }

  /** Adds the calls that one reporter counted. */
  public void add(String reporter, List<RouteCounts> reported) {
    for (RouteCounts counts : reported) {
      boolean toNew = counts.version().equals(newVersion);
      boolean known = toNew || counts.version().equals(oldVersion);
      if (!known || !counts.service().equals(service)) {
        continue;
      }
      Route route = routes.computeIfAbsent(counts.route(), name -> new Route());
      Counts sums = route.reporters.computeIfAbsent(reporter, name -> new Counts());
      if (toNew) {
        sums.newCalls += counts.calls();
        sums.newErrors += counts.errors();
        route.newLatency.merge(counts.latency());
      } else {
        sums.oldCalls += counts.calls();
        sums.oldErrors += counts.errors();
        route.oldLatency.merge(counts.latency());
      }
    }
  }

  /** Returns what the evidence does not prove yet, in words; empty if the version is accepted. */
  public List<String> openQuestions() {
    List<String> open = new ArrayList<>(openQuestionsOfAllRoutes());
    int allCalls = routes.values().stream().mapToInt(Route::oldCalls).sum();
    routes.forEach(
        (name, route) -> {
          if (route.oldCalls() < MIN_ROUTE_SHARE * allCalls) {
            return;
          }
          if (errorRatio(route) > -ACCEPT_ROUTE_ERRORS_NATS) {
            open.add("errors on " + name);
          }
          if (hasLatency(route) && latencyRatio(route) > -ACCEPT_ROUTE_LATENCY_NATS) {
            open.add("latency on " + name);
          }
        });
    return open;
  }

  /** Returns the same as {@link #openQuestions()} without the questions about single routes. */
  public List<String> openQuestionsOfAllRoutes() {
    double errors = 0;
    double latency = 0;
    for (Route route : routes.values()) {
      errors += errorRatio(route);
      latency += latencyRatio(route);
    }
    List<String> open = new ArrayList<>();
    if (errors > -ACCEPT_ALL_ROUTES_NATS) {
      open.add("errors on all routes");
    }
    if (latency > -ACCEPT_ALL_ROUTES_NATS) {
      open.add("latency on all routes");
    }
    return open;
  }

  // Each reporter is compared with its own calls to the old version, so that errors of its own
  // making count for both versions.
  private static double errorRatio(Route route) {
    double routeShare = (route.oldErrors() + PRIOR_ERRORS) / (route.oldCalls() + PRIOR_CALLS);
    double ratio = 0;
    for (Counts counts : route.reporters.values()) {
      double share =
          (counts.oldErrors + PRIOR_CALLS * routeShare) / (counts.oldCalls + PRIOR_CALLS);
      double tolerated = Math.min(MAX_TOLERATED_ERROR_SHARE, share + TOLERATED_ADDED_ERROR_SHARE);
      double harmful = tolerated + HARMFUL_ADDED_ERROR_SHARE;
      ratio += logRatio(counts.newCalls, counts.newErrors, tolerated, harmful);
    }
    return ratio;
  }

  private static boolean hasLatency(Route route) {
    return route.oldLatency.countFrom(0) >= MIN_LATENCY_CALLS;
  }

  private static double latencyRatio(Route route) {
    if (!hasLatency(route)) {
      return 0;
    }
    double oldCalls = route.oldLatency.countFrom(0);
    int bucket = LatencySketch.BUCKETS;
    while (bucket > 1 && route.oldLatency.countFrom(bucket - 1) <= SLOW_SHARE * oldCalls) {
      bucket--;
    }
    double tolerated = clampSlowShare(route.oldLatency.countFrom(bucket) / oldCalls);
    double harmful =
        clampSlowShare(route.oldLatency.countFrom(bucket - HARMFUL_SLOWDOWN_BUCKETS) / oldCalls);
    if (harmful <= tolerated) {
      return 0;
    }
    return logRatio(
        route.newLatency.countFrom(0), route.newLatency.countFrom(bucket), tolerated, harmful);
  }

  private static double clampSlowShare(double share) {
    return Math.max(MIN_SLOW_SHARE, Math.min(MAX_SLOW_SHARE, share));
  }

  private static double logRatio(int calls, int events, double tolerated, double harmful) {
    return events * Math.log(harmful / tolerated)
        + (calls - events) * Math.log((1 - harmful) / (1 - tolerated));
  }
}
