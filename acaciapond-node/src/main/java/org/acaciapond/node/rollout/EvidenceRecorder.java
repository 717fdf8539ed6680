package org.acaciapond.node.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.acaciapond.rollout.evidence.CallResult;
import org.acaciapond.rollout.evidence.Evidence;
import org.acaciapond.rollout.evidence.EvidenceSummary;
import org.acaciapond.rollout.evidence.RouteCounts;
import org.acaciapond.routing.call.CallListener;
import org.acaciapond.routing.call.CallOutcome;
import org.acaciapond.routing.call.CallRecord;

/** Recorder of the calls of this node to services with a running rollout. */
final class EvidenceRecorder implements CallListener {

  /** Limits the memory; each cell has a latency sketch of about 400 bytes. */
  private static final int MAX_CELLS = 512;

  private static final double NANOS_PER_US = 1_000;

  /**
   * Lower latencies count as this one. A target with few calls runs code that is not optimized yet
   * for longer, which adds fractions of a millisecond that do not matter to callers.
   */
  private static final double MIN_COUNTED_LATENCY_US = 1_000;

  private final RolloutRegistry registry;
  private final String reporter;
  private final String failureDomain;
  private final long incarnation;
  private long lastInterval = Long.MIN_VALUE;
  private final Evidence evidence = new Evidence(MAX_CELLS);

  EvidenceRecorder(
      RolloutRegistry registry, String reporter, String failureDomain, long incarnation) {
    this.registry = registry;
    this.reporter = reporter;
    this.failureDomain = failureDomain;
    this.incarnation = incarnation;
  }

  @Override
  public void onCall(CallRecord call) {
    if (registry.hasActiveSplit(call.service())) {
      evidence.record(
          call.service(), call.version(), call.route(), resultOf(call.outcome()), latencyUs(call));
    }
  }

  /**
   * Returns the time in the target, not that of the whole call: the new targets of a small share
   * are often in another failure domain than the old ones, and the network delay must not count.
   */
  private static double latencyUs(CallRecord call) {
    return call.targetNanos() == CallRecord.UNKNOWN_NANOS
        ? Double.NaN
        : Math.max(MIN_COUNTED_LATENCY_US, call.targetNanos() / NANOS_PER_US);
  }

  private static CallResult resultOf(CallOutcome outcome) {
    return switch (outcome) {
      case SUCCESS -> CallResult.SUCCESS;
      case TARGET_ERROR, TIMEOUT, CONNECTION_LOST -> CallResult.ERROR;
      case NOT_RUN -> CallResult.NOT_RUN;
      case CANCELLED -> CallResult.CANCELLED;
      case DEADLINE_SPENT -> CallResult.DEADLINE_SPENT;
    };
  }

  /**
   * Returns one summary for each service called since the last drain.
   *
   * <p>Interval numbers are not reused after two ticks in one second or when the clock is set back,
   * because analyzers accept only the first summary of an interval.
   */
  Map<String, EvidenceSummary> drain(long second) {
    long interval = Math.max(second, lastInterval + 1);
    lastInterval = interval;
    Map<String, List<RouteCounts>> byService = new HashMap<>();
    for (RouteCounts counts : evidence.drain()) {
      byService.computeIfAbsent(counts.service(), s -> new ArrayList<>()).add(counts);
    }
    Map<String, EvidenceSummary> summaries = new HashMap<>();
    byService.forEach(
        (service, routes) ->
            summaries.put(
                service,
                new EvidenceSummary(
                    reporter,
                    failureDomain,
                    incarnation,
                    interval,
                    registry.grantNumber(service),
                    routes)));
    return summaries;
  }
}
