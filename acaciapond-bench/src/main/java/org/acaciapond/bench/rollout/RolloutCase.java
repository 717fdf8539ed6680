package org.acaciapond.bench.rollout;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * One case of a case file.
 *
 * @param name name
 * @param bySeconds set time
 * @param nodes callers' nodes that judge
 * @param callsPerSecond calls of the whole service
 * @param targets targets of each version
 * @param routes routes with their shares of the calls
 * @param before behaviour of the old version
 * @param after behaviour of the new version
 * @param faults faults of the new version
 * @param sharedFaults faults of both versions
 * @param sickNodes judging nodes that see errors of their own making
 * @param good whether the new version is good
 * @param coldSeconds time in which a newly used target is slow
 * @param coldFactor latency factor of a cold target
 */
record RolloutCase(
    String name,
    double bySeconds,
    int nodes,
    double callsPerSecond,
    int targets,
    List<Route> routes,
    Behaviour before,
    Behaviour after,
    List<Fault> faults,
    List<Fault> sharedFaults,
    int sickNodes,
    boolean good,
    double coldSeconds,
    double coldFactor) {

  /** Route and its share of the calls. */
  record Route(String path, double share) {}

  /** Latency distribution and error share of a version without faults. */
  record Behaviour(double p50Ms, double p99Ms, double errorShare) {}

  /** Fault of one or both versions; without a route it hits all routes. */
  record Fault(
      boolean error,
      double size,
      double afterSeconds,
      double untilSeconds,
      double aboveLoad,
      @Nullable String route) {

    boolean hits(double second, double load, String path) {
      boolean inTime = second >= afterSeconds && second < untilSeconds;
      boolean loaded = aboveLoad <= 0 || load > aboveLoad;
      return inTime && loaded && (route == null || route.equals(path));
    }

    boolean atOnce() {
      return afterSeconds <= 0 && aboveLoad <= 0;
    }
  }

  /** Whether the version is bad from the first call on. */
  boolean badAtOnce() {
    return !good && (faults.isEmpty() || faults.stream().anyMatch(Fault::atOnce));
  }

  /** Returns the end of the simulated time: the set time, the last fault and a watch after it. */
  int horizonSeconds() {
    double last = bySeconds;
    for (Fault fault : faults) {
      last = Math.max(last, fault.afterSeconds());
    }
    return (int) Math.ceil(last + Math.max(bySeconds / 2, 120));
  }
}
