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

/** Recorder of the calls of this node to services that are being moved. */
final class EvidenceRecorder implements CallListener {

  /** Bounds the memory: each cell holds a latency sketch of about 400 bytes. */
  private static final int MAX_CELLS = 512;

  private static final double NANOS_PER_US = 1_000;

  /**
   * Shorter times count as equal. A target with few calls runs less optimised code for longer,
   * which shows in fractions of a millisecond and harms no caller.
   */
  private static final double FLOOR_US = 1_000;

  private final RolloutRegistry book;
  private final String witness;
  private final String failureDomain;
  private final long incarnation;
  private long lastInterval = Long.MIN_VALUE;
  private final Evidence evidence = new Evidence(MAX_CELLS);

  EvidenceRecorder(RolloutRegistry book, String witness, String failureDomain, long incarnation) {
    this.book = book;
    this.witness = witness;
    this.failureDomain = failureDomain;
    this.incarnation = incarnation;
  }

  @Override
  public void onCall(CallRecord call) {
    if (book.isWatched(call.service())) {
      evidence.record(
          call.service(), call.version(), call.route(), resultOf(call.outcome()), latencyUs(call));
    }
  }

  /**
   * Time in the target, not the whole time of the call: the new targets of a small share often lie
   * in another failure domain than the old ones, and the distance must not count against them.
   */
  private static double latencyUs(CallRecord call) {
    return call.targetNanos() == CallRecord.UNKNOWN_NANOS
        ? Double.NaN
        : Math.max(FLOOR_US, call.targetNanos() / NANOS_PER_US);
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
   * <p>Two ticks of one second or a clock set back must not repeat an interval number: judges take
   * only the first summary of an interval.
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
                    witness,
                    failureDomain,
                    incarnation,
                    interval,
                    book.grantNumber(service),
                    routes)));
    return summaries;
  }
}
