package org.acaciapond.mesh.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import org.jspecify.annotations.Nullable;

/**
 * Times at which clients whose requests to one service were refused may come back to this node. The
 * requests of a node are served at some rate, and a part of it is given to clients that come back:
 * each refusal is told the next time that no client was told before. A client that comes back is
 * recognized by its deadline, which stays the same, and is then ordered by the time of its first
 * try.
 */
public final class ReturnSchedule {

  // Share of the requests served by this node that clients which come back may take.
  private static final double RETURN_SHARE = 0.5;
  // Clients wait up to this share of the time that they have left.
  private static final double MAX_WAIT_SHARE = 1.0 / 3;
  private static final double RATE_HALF_LIFE_NANOS = 1e9;
  private static final long MAX_INTERVAL_NANOS = 1_000_000_000L;
  // Below the shortest time that a client is told, so that a new request of another client is not
  // taken for one that comes back.
  private static final long DEADLINE_TOLERANCE_NANOS = 15_000_000L;
  private static final int MIN_RETRY_AFTER_MS = 20;
  private static final long EARLY_TOLERANCE_NANOS = 5_000_000L;
  private static final int MAX_EXPECTED = 4_096;

  private final Deque<Expected> expected = new ArrayDeque<>();
  private double served;
  private long servedNanos;
  private long nextFreeNanos;
  private boolean started;

  /** Client that was told to come back. */
  private record Expected(
      String route, long deadlineNanos, long returnNanos, long firstReceivedNanos) {}

  /**
   * A refused request.
   *
   * @param route its route
   * @param deadlineNanos monotonic time until which its client waits
   * @param firstReceivedNanos monotonic time of the client's first try
   */
  public record Refused(String route, long deadlineNanos, long firstReceivedNanos) {}

  /** Records that a request was served. */
  public void recordServed(long nowNanos) {
    served = served(nowNanos) + 1;
    servedNanos = nowNanos;
  }

  // Number of requests served lately; a steady rate adds up to it over the half-life / ln 2.
  private double served(long nowNanos) {
    return served * Math.pow(0.5, (nowNanos - servedNanos) / RATE_HALF_LIFE_NANOS);
  }

  private long intervalNanos(long nowNanos) {
    double ratePerNano = served(nowNanos) * Math.log(2) / RATE_HALF_LIFE_NANOS;
    return (long) Math.min(MAX_INTERVAL_NANOS, 1 / (RETURN_SHARE * ratePerNano));
  }

  /**
   * Returns the time after which there is room for a refused request, in milliseconds, and expects
   * its client then unless the client cannot wait for so long.
   *
   * @param minWaitMs time until the targets that refused it have room
   */
  public int retryAfterMs(Refused refused, int minWaitMs, long nowNanos) {
    long earliestNanos = nowNanos + Math.max(MIN_RETRY_AFTER_MS, minWaitMs) * 1_000_000L;
    boolean free = !started || earliestNanos - nextFreeNanos > 0;
    long returnNanos = free ? earliestNanos : nextFreeNanos;
    long waitNanos = returnNanos - nowNanos;
    if (waitNanos <= (refused.deadlineNanos() - nowNanos) * MAX_WAIT_SHARE) {
      started = true;
      nextFreeNanos = returnNanos + intervalNanos(nowNanos);
      expect(refused, returnNanos, nowNanos);
    }
    return (int) (waitNanos / 1_000_000);
  }

  private void expect(Refused refused, long returnNanos, long nowNanos) {
    while (!expected.isEmpty() && expected.peekFirst().deadlineNanos() - nowNanos < 0) {
      expected.removeFirst();
    }
    if (expected.size() < MAX_EXPECTED) {
      expected.addLast(
          new Expected(
              refused.route(), refused.deadlineNanos(), returnNanos, refused.firstReceivedNanos()));
    }
  }

  /**
   * Returns the time of a client's first try if the request is one of a client that comes back, and
   * expects it no longer.
   *
   * @param deadlineNanos monotonic time until which the client waits
   */
  public @Nullable Long takeFirstReceivedNanos(String route, long deadlineNanos, long nowNanos) {
    Iterator<Expected> each = expected.iterator();
    while (each.hasNext()) {
      Expected next = each.next();
      boolean sameClient =
          Math.abs(next.deadlineNanos() - deadlineNanos) <= DEADLINE_TOLERANCE_NANOS
              && next.route().equals(route);
      if (sameClient && nowNanos - next.returnNanos() >= -EARLY_TOLERANCE_NANOS) {
        each.remove();
        return next.firstReceivedNanos();
      }
    }
    return null;
  }
}
