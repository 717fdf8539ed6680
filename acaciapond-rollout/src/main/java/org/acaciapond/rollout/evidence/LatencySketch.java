package org.acaciapond.rollout.evidence;

import java.util.Arrays;

/**
 * Latency counts in {@value #BUCKETS} logarithmic buckets from 0.1 ms to about 60 s; merging adds
 * counts.
 */
public final class LatencySketch {

  /** Number of buckets. */
  public static final int BUCKETS = 96;

  /** Ratio of adjacent bucket bounds; the analysis tolerates a slowdown of one bucket. */
  public static final double BUCKET_RATIO = Math.pow(2, 0.2);

  private static final double MIN_LATENCY_US = 100;
  private static final double BUCKETS_PER_NAT = 1 / Math.log(BUCKET_RATIO);

  private final int[] counts;

  /** Creates an empty sketch. */
  public LatencySketch() {
    this(new int[BUCKETS]);
  }

  LatencySketch(int[] counts) {
    this.counts = counts;
  }

  /** Returns the bucket of a latency; values out of range go to the first or last bucket. */
  public static int bucketOf(double latencyUs) {
    if (latencyUs <= MIN_LATENCY_US) {
      return 0;
    }
    int bucket = (int) (Math.log(latencyUs / MIN_LATENCY_US) * BUCKETS_PER_NAT);
    return Math.min(bucket, BUCKETS - 1);
  }

  /** Adds calls to a bucket. */
  public void add(int bucket, int calls) {
    counts[bucket] += calls;
  }

  /** Adds all counts of another sketch. */
  public void merge(LatencySketch other) {
    for (int i = 0; i < BUCKETS; i++) {
      counts[i] += other.counts[i];
    }
  }

  /** Returns the calls in one bucket. */
  public int count(int bucket) {
    return counts[bucket];
  }

  /** Returns the calls in this bucket and all slower ones. */
  public int countFrom(int bucket) {
    int sum = 0;
    for (int i = Math.max(0, bucket); i < BUCKETS; i++) {
      sum += counts[i];
    }
    return sum;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof LatencySketch sketch && Arrays.equals(counts, sketch.counts);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(counts);
  }
}
