package org.acaciapond.mesh.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * This node's part of the budget of repeated calls that all nodes share. Every node keeps within a
 * share of its own requests and an equal part of the slack, so the sum stays within the budget
 * without an exchange, also while nodes cannot reach each other.
 */
public final class RepeatBudget {

  private static final int BUCKETS = 10;

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
   * Creates a budget.
   *
   * @param ratio repeats per request that this node allows itself
   * @param slack repeats per window beyond the ratio, for all nodes together
   * @param windowMs length of the window
   */
  public RepeatBudget(double ratio, double slack, int windowMs) {
    this.ratio = ratio;
    this.slack = slack;
    this.bucketNanos = windowMs * 1_000_000L / BUCKETS;
  }

  /** Takes other limits, from changed settings. */
  public void limits(double newRatio, double newSlack) {
    ratio = newRatio;
    slack = newSlack;
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
