package org.acaciapond.bench.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.acaciapond.rollout.evidence.LatencySketch;
import org.apache.commons.math3.special.Erf;

/** Tables from which buckets of a log-normal latency are sampled, one for each latency factor. */
final class LatencyTable {

  private static final int SIZE = 4096;
  private static final double Z_99 = 2.3263;
  private static final double US_PER_MS = 1000;
  private static final double MIN_SIGMA = 1e-3;

  private final RolloutCase.Behavior behavior;
  private final Map<Double, byte[]> tables = new HashMap<>();

  LatencyTable(RolloutCase.Behavior behavior) {
    this.behavior = behavior;
  }

  void sample(LatencySketch sketch, int calls, double latencyFactor, SplittableRandom random) {
    byte[] table = tables.computeIfAbsent(latencyFactor, this::build);
    for (int i = 0; i < calls; i++) {
      sketch.add(table[random.nextInt(SIZE)], 1);
    }
  }

  private byte[] build(double latencyFactor) {
    double ratio = behavior.p99Ms() / behavior.p50Ms();
    double sigma = Math.max(MIN_SIGMA, Math.log(ratio) / Z_99);
    double median = behavior.p50Ms() * latencyFactor * US_PER_MS;
    byte[] table = new byte[SIZE];
    for (int i = 0; i < SIZE; i++) {
      double rank = (i + 0.5) / SIZE;
      double score = Math.sqrt(2) * Erf.erfInv(2 * rank - 1);
      table[i] = (byte) LatencySketch.bucketOf(median * Math.exp(sigma * score));
    }
    return table;
  }
}
