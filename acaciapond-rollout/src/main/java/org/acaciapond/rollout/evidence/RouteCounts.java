package org.acaciapond.rollout.evidence;

/** Calls of one service, version and route in one interval. */
public record RouteCounts(
    String service, String version, String route, int calls, int errors, LatencySketch latency) {}
