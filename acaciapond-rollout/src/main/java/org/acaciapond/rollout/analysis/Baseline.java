package org.acaciapond.rollout.analysis;

import org.acaciapond.rollout.evidence.LatencySketch;

/** Recent behavior of the old version on one route, from blocks that were already scored. */
final class Baseline {

  private static final double PRIOR_CALLS = 200;
  private static final double PRIOR_ERRORS = 0.6;
  private static final double MIN_SHARE = 0.002;
  private static final double MIN_LATENCY_CALLS = 50;
  // Counts are halved above this number of calls, so that the baseline follows changes.
  private static final double MAX_COUNTED_CALLS = 4000;

  private final double[] latency = new double[LatencySketch.BUCKETS];
  private double latencyCalls;
  private double calls;
  private double errors;

  double errorShare() {
    return (errors + PRIOR_ERRORS) / (calls + PRIOR_CALLS);
  }

  /** Returns the error share of one reporter, shrunk towards the share of the whole route. */
  double errorShare(Baseline reporter) {
    return (reporter.errors + PRIOR_CALLS * errorShare()) / (reporter.calls + PRIOR_CALLS);
  }

  boolean hasLatency() {
    return latencyCalls >= MIN_LATENCY_CALLS;
  }

  /** Returns the lowest bucket such that at most the given share of calls is in it or above. */
  int bucketAbove(double share) {
    double sum = 0;
    int bucket = LatencySketch.BUCKETS;
    while (bucket > 1 && sum + latency[bucket - 1] <= share * latencyCalls) {
      bucket--;
      sum += latency[bucket];
    }
    return bucket;
  }

  double shareFrom(int bucket) {
    double sum = 0;
    for (int i = Math.max(0, bucket); i < LatencySketch.BUCKETS; i++) {
      sum += latency[i];
    }
    return Math.max(MIN_SHARE, sum / latencyCalls);
  }

  void update(CallBlock block) {
    calls += block.oldCalls();
    errors += block.oldErrors();
    for (int i = 0; i < LatencySketch.BUCKETS; i++) {
      latency[i] += block.oldLatency().count(i);
      latencyCalls += block.oldLatency().count(i);
    }
    if (calls > MAX_COUNTED_CALLS) {
      calls /= 2;
      errors /= 2;
    }
    if (latencyCalls > MAX_COUNTED_CALLS) {
      latencyCalls = 0;
      for (int i = 0; i < LatencySketch.BUCKETS; i++) {
        latency[i] /= 2;
        latencyCalls += latency[i];
      }
    }
  }
}
