package org.acaciapond.bench.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.acaciapond.rollout.evidence.EvidenceSummary;
import org.acaciapond.rollout.evidence.LatencySketch;
import org.acaciapond.rollout.evidence.RouteCounts;

/** Simulated calls of all nodes to synthetic targets, one second at a time. */
final class Traffic {

  static final String SERVICE = "service";
  static final String OLD = "old";
  static final String NEW = "new";

  private static final int DOMAINS = 4;
  private static final double UNHEALTHY_ERROR_SHARE = 0.2;

  private final RolloutCase test;
  private final SplittableRandom random;
  private final LatencyTable oldLatency;
  private final LatencyTable newLatency;
  private final int unhealthyMode;
  private double fault;
  private double latencyFactor;
  private int targetsBefore;
  private int targetsNow;
  private int targetsAddedAt;
  private long newCalls;
  private long newErrors;

  /** Calls of an unhealthy node that fail: those to both versions or to one of them. */
  private static final int UNHEALTHY_FOR_BOTH = 0;

  private static final int UNHEALTHY_FOR_NEW = 1;
  private static final int UNHEALTHY_MODES = 3;

  Traffic(RolloutCase test, SplittableRandom random) {
    this.test = test;
    this.random = random;
    this.oldLatency = new LatencyTable(test.oldBehavior());
    this.newLatency = new LatencyTable(test.newBehavior());
    this.unhealthyMode = random.nextInt(UNHEALTHY_MODES);
  }

  /** Simulates the calls of one second and returns the summary of each node. */
  List<EvidenceSummary> simulateSecond(int second, double share, int targets, long grantNumber) {
    newCalls = 0;
    newErrors = 0;
    updateTargets(second, targets);
    double load = targets == 0 ? 0 : share * test.targets() / targets;
    List<EvidenceSummary> summaries = new ArrayList<>();
    for (int node = 0; node < test.nodes(); node++) {
      List<RouteCounts> routes = new ArrayList<>();
      for (RolloutCase.Route route : test.routes()) {
        double calls = test.callsPerSecond() * route.share() / test.nodes();
        add(routes, route.path(), node, second, calls * (1 - share), 1 - share, false);
        add(routes, route.path(), node, second, calls * share, load, true);
      }
      if (!routes.isEmpty()) {
        String domain = "domain-" + node % DOMAINS;
        summaries.add(new EvidenceSummary("node-" + node, domain, 1, second, grantNumber, routes));
      }
    }
    return summaries;
  }

  long newCalls() {
    return newCalls;
  }

  long newErrors() {
    return newErrors;
  }

  /** Returns whether a fault of the new version affects calls at this time and load. */
  boolean isFaultVisible(int second, double share, int targets) {
    if (share <= 0 || test.good()) {
      return false;
    }
    double load = share * test.targets() / targets;
    boolean hit = test.faults().isEmpty();
    for (RolloutCase.Route route : test.routes()) {
      for (RolloutCase.Fault each : test.faults()) {
        hit |= each.affects(second, load, route.path());
      }
    }
    return hit;
  }

  private void updateTargets(int second, int targets) {
    if (targets != targetsNow) {
      targetsBefore = Math.min(targetsNow, targets);
      targetsNow = targets;
      targetsAddedAt = second;
    }
  }

  private void add(
      List<RouteCounts> routes,
      String path,
      int node,
      int second,
      double mean,
      double load,
      boolean toNew) {
    int calls = mean <= 0 ? 0 : Sampling.poisson(mean, random);
    if (calls == 0) {
      return;
    }
    updateFaults(path, second, load, toNew);
    RolloutCase.Behavior behavior = toNew ? test.newBehavior() : test.oldBehavior();
    double share = Math.min(1, behavior.errorShare() + fault);
    int failed = Sampling.binomial(calls, share, random);
    newCalls += toNew ? calls : 0;
    newErrors += toNew ? failed : 0;
    int errors = failed + unhealthyErrors(node, calls - failed, toNew);
    LatencySketch sketch = new LatencySketch();
    int cold = toNew ? coldCalls(calls - errors, second) : 0;
    LatencyTable table = toNew ? newLatency : oldLatency;
    table.sample(sketch, calls - errors - cold, latencyFactor, random);
    table.sample(sketch, cold, latencyFactor * test.coldFactor(), random);
    routes.add(new RouteCounts(SERVICE, toNew ? NEW : OLD, path, calls, errors, sketch));
  }

  private void updateFaults(String path, int second, double load, boolean toNew) {
    fault = 0;
    latencyFactor = 1;
    test.sharedFaults().forEach(each -> apply(each, second, load, path));
    if (toNew) {
      test.faults().forEach(each -> apply(each, second, load, path));
    }
  }

  private void apply(RolloutCase.Fault each, int second, double load, String path) {
    if (!each.affects(second, load, path)) {
      return;
    }
    if (each.error()) {
      fault += each.size();
    } else {
      latencyFactor *= each.size();
    }
  }

  private int unhealthyErrors(int node, int calls, boolean toNew) {
    boolean hit =
        unhealthyMode == UNHEALTHY_FOR_BOTH || (unhealthyMode == UNHEALTHY_FOR_NEW) == toNew;
    return node < test.unhealthyNodes() && hit
        ? Sampling.binomial(calls, UNHEALTHY_ERROR_SHARE, random)
        : 0;
  }

  private int coldCalls(int calls, int second) {
    if (second - targetsAddedAt >= test.coldSeconds() || targetsNow == 0) {
      return 0;
    }
    double coldShare = 1 - (double) targetsBefore / targetsNow;
    return Sampling.binomial(calls, coldShare, random);
  }
}
