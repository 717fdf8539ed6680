package org.acaciapond.mesh.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * This node's share of the retry budget of all nodes. Every node limits its retries to a ratio of
 * its own requests plus an equal share of the slack, so the sum stays within the budget without
 * communication, even while nodes cannot reach each other.
 */
public final class RetryBudget {

  private static final int BUCKETS = 10;
  // A retried call makes its nested calls again, which count as retries at the services called.
  // Those are at most the same share of that service's requests, so half of the ratio is reserved
  // for them, and a little for the slack of the caller's budget, which nested calls multiply.
  private static final double DIRECT_RETRY_RATIO_SHARE = 0.45;
  // The rest is reserved for windows that are not aligned between nodes and for unknown nodes.
  private static final double USABLE_SLACK_SHARE = 0.5;

  private double ratio;
  private double slack;
  private final long bucketNanos;
  private final Map<String, Window> windows = new HashMap<>();

  /** Requests and retries of one service by time bucket. */
  private static final class Window {
    final int[] requests = new int[BUCKETS];
    final int[] retries = new int[BUCKETS];
    long bucket;
  }

  /**
   * Creates a budget from the limits for all nodes together.
   *
   * @param ratio retries per request
   * @param slack retries per window in addition to the ratio
   * @param windowMs length of the window
   */
  public RetryBudget(double ratio, double slack, int windowMs) {
    setLimits(ratio, slack);
    this.bucketNanos = windowMs * 1_000_000L / BUCKETS;
  }

  /** Replaces the limits for all nodes after a change of settings. */
  public final void setLimits(double newRatio, double newSlack) {
    ratio = newRatio * DIRECT_RETRY_RATIO_SHARE;
    slack = newSlack * USABLE_SLACK_SHARE;
  }

  /** Counts a request for a service. */
  public void recordRequest(String service, long nowNanos) {
    Window window = window(service, nowNanos);
    window.requests[(int) Math.floorMod(window.bucket, BUCKETS)]++;
  }

  /** Counts a retry and returns true if the budget allows it. */
  public boolean tryRetry(String service, int nodes, long nowNanos) {
    Window window = window(service, nowNanos);
    int requests = 0;
    int retries = 0;
    for (int i = 0; i < BUCKETS; i++) {
      requests += window.requests[i];
      retries += window.retries[i];
    }
    if (retries + 1 > ratio * requests + slack / Math.max(1, nodes)) {
      return false;
    }
    window.retries[(int) Math.floorMod(window.bucket, BUCKETS)]++;
    return true;
  }

  /** Counts a retry that the node cannot prevent, such as a nested call of a retried call. */
  public void recordRetry(String service, long nowNanos) {
    Window window = window(service, nowNanos);
    window.retries[(int) Math.floorMod(window.bucket, BUCKETS)]++;
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
      window.retries[index] = 0;
    }
    window.bucket = Math.max(window.bucket, bucket);
    return window;
  }
}
