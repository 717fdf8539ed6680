package org.acaciapond.bench.rollout;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Simulated rollout: traffic, versions, faults and deadline.
 *
 * @param name name of the case
 * @param deadlineSeconds time until the deadline
 * @param nodes nodes of the callers, which report evidence
 * @param callsPerSecond calls per second to the service
 * @param targets targets of each version
 * @param routes routes with their shares of the calls
 * @param oldBehavior behavior of the old version
 * @param newBehavior behavior of the new version
 * @param faults faults of the new version
 * @param sharedFaults faults of both versions
 * @param unhealthyNodes nodes whose calls fail because of the nodes themselves
 * @param good whether the new version is good
 * @param coldSeconds warm-up time of a target
 * @param coldFactor latency factor during warm-up
 */
record RolloutCase(
    String name,
    double deadlineSeconds,
    int nodes,
    double callsPerSecond,
    int targets,
    List<Route> routes,
    Behavior oldBehavior,
    Behavior newBehavior,
    List<Fault> faults,
    List<Fault> sharedFaults,
    int unhealthyNodes,
    boolean good,
    double coldSeconds,
    double coldFactor) {

  /** Route and its share of the calls. */
  record Route(String path, double share) {}

  /** Latency distribution and error share of a version without faults. */
  record Behavior(double p50Ms, double p99Ms, double errorShare) {}

  /** Fault of one or both versions; without a route it affects all routes. */
  record Fault(
      boolean error,
      double size,
      double afterSeconds,
      double untilSeconds,
      double aboveLoad,
      @Nullable String route) {

    boolean affects(double second, double load, String path) {
      boolean inTime = second >= afterSeconds && second < untilSeconds;
      boolean loaded = aboveLoad <= 0 || load > aboveLoad;
      return inTime && loaded && (route == null || route.equals(path));
    }

    boolean activeFromStart() {
      return afterSeconds <= 0 && aboveLoad <= 0;
    }
  }

  /** Returns whether the new version is bad from the first call on. */
  boolean badFromStart() {
    return !good && (faults.isEmpty() || faults.stream().anyMatch(Fault::activeFromStart));
  }

  /** Returns the end of the simulation: some time after the deadline and the last fault. */
  int endSeconds() {
    double last = deadlineSeconds;
    for (Fault fault : faults) {
      last = Math.max(last, fault.afterSeconds());
    }
    return (int) Math.ceil(last + Math.max(deadlineSeconds / 2, 120));
  }
}
