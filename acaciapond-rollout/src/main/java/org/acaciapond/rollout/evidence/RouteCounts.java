package org.acaciapond.rollout.evidence;

/** Calls of one service, version and route in one interval, or in all intervals of a rollout. */
public record RouteCounts(
    String service, String version, String route, int calls, int errors, LatencySketch latency) {

  /** Returns the sum of these counts and others of the same route and version. */
  RouteCounts plus(RouteCounts other) {
    LatencySketch sum = new LatencySketch();
    sum.merge(latency);
    sum.merge(other.latency);
    return new RouteCounts(
        service, version, route, calls + other.calls, errors + other.errors, sum);
  }

  /** Returns these counts without others that they include. */
  RouteCounts minus(RouteCounts included) {
    LatencySketch rest = new LatencySketch();
    for (int i = 0; i < LatencySketch.BUCKETS; i++) {
      rest.add(i, latency.count(i) - included.latency.count(i));
    }
    return new RouteCounts(
        service, version, route, calls - included.calls, errors - included.errors, rest);
  }

  /** Returns whether all counts are at least those of others. */
  boolean includes(RouteCounts other) {
    boolean atLeast = calls >= other.calls && errors >= other.errors;
    for (int i = 0; i < LatencySketch.BUCKETS; i++) {
      atLeast &= latency.count(i) >= other.latency.count(i);
    }
    return atLeast;
  }
}
