package org.acaciapond.mesh.retry;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * This node's share of the retry budget of all nodes. Every node limits its retries to a ratio of
 * its own requests plus an equal share of the slack, so the sum stays within the budget without
 * communication, even while nodes cannot reach each other. A node gives retries that it does not
 * need to others: it counts them as its own before it gives them, for the window and the time in
 * which the other node may use them, so the sum stays the same.
 */
public final class RetryBudget {

  private static final int BUCKETS = 10;
  // A given retry is used at most one bucket later, at a time within the bucket after it.
  private static final int GIVEN_BUCKETS = BUCKETS + 2;
  // A node keeps at least as many retries for itself as it gives away.
  private static final int GIVEN_DIVISOR = 2;
  private static final int MAX_GIVEN = 4;
  private static final int MAX_RECEIVED = 16;
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
    final int[] given = new int[GIVEN_BUCKETS];
    // Times at which nodes gave retries to this one, or earlier ones.
    final Deque<Long> receivedNanos = new ArrayDeque<>();
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
    if (free(window, nodes) >= 1) {
      window.retries[(int) Math.floorMod(window.bucket, BUCKETS)]++;
      return true;
    }
    expireReceived(window, nowNanos);
    return window.receivedNanos.poll() != null;
  }

  /** Returns how many retries the budget allows now. */
  public int available(String service, int nodes, long nowNanos) {
    Window window = window(service, nowNanos);
    expireReceived(window, nowNanos);
    return (int) Math.max(0, free(window, nodes)) + window.receivedNanos.size();
  }

  /**
   * Counts retries that this node does not need and returns their number, to be sent to another.
   */
  public int give(String service, int nodes, long nowNanos) {
    Window window = window(service, nowNanos);
    int count = (int) Math.max(0, Math.min(MAX_GIVEN, free(window, nodes) / GIVEN_DIVISOR));
    window.given[(int) Math.floorMod(window.bucket, GIVEN_BUCKETS)] += count;
    return count;
  }

  /**
   * Adds retries that another node gave.
   *
   * @param givenNanos time at or before which it gave them, by the clock of this node
   */
  public void receive(String service, int count, long givenNanos, long nowNanos) {
    Window window = window(service, nowNanos);
    for (int i = 0; i < count && window.receivedNanos.size() < MAX_RECEIVED; i++) {
      window.receivedNanos.add(givenNanos);
    }
  }

  /** Discards the retries that other nodes gave. */
  public void discardReceived() {
    windows.values().forEach(window -> window.receivedNanos.clear());
  }

  private void expireReceived(Window window, long nowNanos) {
    window.receivedNanos.removeIf(givenNanos -> nowNanos - givenNanos >= bucketNanos);
  }

  private double free(Window window, int nodes) {
    int requests = Arrays.stream(window.requests).sum();
    int used = Arrays.stream(window.retries).sum() + Arrays.stream(window.given).sum();
    return ratio * requests + slack / Math.max(1, nodes) - used;
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
    long givenSteps = Math.min(GIVEN_BUCKETS, bucket - window.bucket);
    for (long i = 1; i <= givenSteps; i++) {
      window.given[(int) Math.floorMod(window.bucket + i, GIVEN_BUCKETS)] = 0;
    }
    window.bucket = Math.max(window.bucket, bucket);
    return window;
  }
}
