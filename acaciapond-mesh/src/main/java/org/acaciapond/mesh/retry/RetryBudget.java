package org.acaciapond.mesh.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * This node's part of the budget of repeated calls that all nodes share. Every node keeps within a
 * share of its own requests and an equal part of the slack, so the sum stays within the budget
 * without an exchange, also while nodes cannot reach each other.
 */
public final class RetryBudget {

  private static final int BUCKETS = 10;
  // Repeated runs make their nested calls again, which count at the services called. Those are at
  // most the same share of that service's requests, so half of the contract's ratio is left for
  // them.
  private static final double OWN_RATIO_SHARE = 0.5;
  // Room for windows that do not coincide and for nodes that are not known yet.
  private static final double OWN_SLACK_SHARE = 0.6;

  private double ratio;
  private double slack;
  private final long bucketNanos;
  private final Map<String, Window> windows = new HashMap<>();

  /** Requests and repeats of one service by bucket of time. */
  private static final class Window {
    final int[] requests = new int[BUCKETS];
    final int[] repeats = new int[BUCKETS];
    long bucket;
  }

  /**
   * Creates a budget from the contract's figures for all nodes together.
   *
   * @param ratio repeats per request
   * @param slack repeats per window beyond the ratio
   * @param windowMs length of the window
   */
  public RetryBudget(double ratio, double slack, int windowMs) {
    limits(ratio, slack);
    this.bucketNanos = windowMs * 1_000_000L / BUCKETS;
  }

  /** Takes other limits, from changed settings. */
  public final void limits(double newRatio, double newSlack) {
    ratio = newRatio * OWN_RATIO_SHARE;
    slack = newSlack * OWN_SLACK_SHARE;
  }

  /** Counts a request for a service. */
  public void request(String service, long nowNanos) {
    Window window = window(service, nowNanos);
    window.requests[(int) Math.floorMod(window.bucket, BUCKETS)]++;
  }

  /** Counts a repeat and returns true if the budget allows it. */
  public boolean tryRepeat(String service, int nodes, long nowNanos) {
    Window window = window(service, nowNanos);
    int requests = 0;
    int repeats = 0;
    for (int i = 0; i < BUCKETS; i++) {
      requests += window.requests[i];
      repeats += window.repeats[i];
    }
    if (repeats + 1 > ratio * requests + slack / Math.max(1, nodes)) {
      return false;
    }
    window.repeats[(int) Math.floorMod(window.bucket, BUCKETS)]++;
    return true;
  }

  /** Counts a repeat that the node cannot prevent, such as a call of a run that was one itself. */
  public void repeated(String service, long nowNanos) {
    Window window = window(service, nowNanos);
    window.repeats[(int) Math.floorMod(window.bucket, BUCKETS)]++;
  }

  private Window window(String service, long nowNanos) {
    long bucket = Math.floorDiv(nowNanos, bucketNanos);
    Window window = windows.get(service);
    if (window == null) {
      window = new Window();
      window.bucket = bucket;
      windows.put(service, window);
    }
    long steps = Math.min(BUCKETS, bucket - window.bucket);
    for (long i = 1; i <= steps; i++) {
      int index = (int) Math.floorMod(window.bucket + i, BUCKETS);
      window.requests[index] = 0;
      window.repeats[index] = 0;
    }
    window.bucket = Math.max(window.bucket, bucket);
    return window;
  }
}
