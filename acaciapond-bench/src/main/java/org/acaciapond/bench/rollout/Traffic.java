package org.acaciapond.bench.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.acaciapond.rollout.evidence.EvidenceSummary;
import org.acaciapond.rollout.evidence.LatencySketch;
import org.acaciapond.rollout.evidence.RouteCounts;

/** Calls of all judging nodes to synthetic targets, one second at a time. */
final class Traffic {

  static final String SERVICE = "service";
  static final String OLD = "old";
  static final String NEW = "new";

  private static final int DOMAINS = 4;
  private static final double SICK_ERRORS = 0.2;

  private final RolloutCase test;
  private final SplittableRandom random;
  private final LatencyTable oldLatency;
  private final LatencyTable newLatency;
  private final int sickMode;
  private double fault;
  private double factor;
  private int targetsBefore;
  private int targetsNow;
  private int raisedAt;
  private long newCalls;
  private long newErrors;

  /** What a sick node gets wrong: its calls to both versions or to one of them. */
  private static final int SICK_BOTH = 0;

  private static final int SICK_NEW = 1;
  private static final int SICK_MODES = 3;

  Traffic(RolloutCase test, SplittableRandom random) {
    this.test = test;
    this.random = random;
    this.oldLatency = new LatencyTable(test.before());
    this.newLatency = new LatencyTable(test.after());
    this.sickMode = random.nextInt(SICK_MODES);
  }

  /** Makes the calls of one second and returns what each node saw. */
  List<EvidenceSummary> second(int second, double share, int targets, long grant) {
    newCalls = 0;
    newErrors = 0;
    noteTargets(second, targets);
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
        summaries.add(new EvidenceSummary("node-" + node, domain, 1, second, grant, routes));
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

  /** Whether a fault of the new version hits calls under this load now. */
  boolean faultShows(int second, double share, int targets) {
    if (share <= 0 || test.good()) {
      return false;
    }
    double load = share * test.targets() / targets;
    boolean hit = test.faults().isEmpty();
    for (RolloutCase.Route route : test.routes()) {
      for (RolloutCase.Fault each : test.faults()) {
        hit |= each.hits(second, load, route.path());
      }
    }
    return hit;
  }

  private void noteTargets(int second, int targets) {
    if (targets != targetsNow) {
      targetsBefore = Math.min(targetsNow, targets);
      targetsNow = targets;
      raisedAt = second;
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
    faultsNow(path, second, load, toNew);
    RolloutCase.Behaviour behaviour = toNew ? test.after() : test.before();
    double share = Math.min(1, behaviour.errorShare() + fault);
    int failed = Sampling.binomial(calls, share, random);
    newCalls += toNew ? calls : 0;
    newErrors += toNew ? failed : 0;
    int errors = failed + sickErrors(node, calls - failed, toNew);
    LatencySketch sketch = new LatencySketch();
    int cold = toNew ? coldCalls(calls - errors, second) : 0;
    LatencyTable table = toNew ? newLatency : oldLatency;
    table.sample(sketch, calls - errors - cold, factor, random);
    table.sample(sketch, cold, factor * test.coldFactor(), random);
    routes.add(new RouteCounts(SERVICE, toNew ? NEW : OLD, path, calls, errors, sketch));
  }

  private void faultsNow(String path, int second, double load, boolean toNew) {
    fault = 0;
    factor = 1;
    test.sharedFaults().forEach(each -> apply(each, second, load, path));
    if (toNew) {
      test.faults().forEach(each -> apply(each, second, load, path));
    }
  }

  private void apply(RolloutCase.Fault each, int second, double load, String path) {
    if (!each.hits(second, load, path)) {
      return;
    }
    if (each.error()) {
      fault += each.size();
    } else {
      factor *= each.size();
    }
  }

  private int sickErrors(int node, int calls, boolean toNew) {
    boolean hit = sickMode == SICK_BOTH || (sickMode == SICK_NEW) == toNew;
    return node < test.sickNodes() && hit ? Sampling.binomial(calls, SICK_ERRORS, random) : 0;
  }

  private int coldCalls(int calls, int second) {
    if (second - raisedAt >= test.coldSeconds() || targetsNow == 0) {
      return 0;
    }
    double coldShare = 1 - (double) targetsBefore / targetsNow;
    return Sampling.binomial(calls, coldShare, random);
  }
}
