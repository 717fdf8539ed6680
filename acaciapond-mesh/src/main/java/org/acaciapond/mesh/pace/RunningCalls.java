package org.acaciapond.mesh.pace;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Calls that run in the target, those that are overdue, and those that were abandoned and may still
 * hold a slot of it. A call is overdue if it runs far longer than such calls take at the target's
 * recent speed.
 */
final class RunningCalls {

  private static final double OVERDUE_FACTOR = 8;
  private static final long MIN_OVERDUE_NANOS = 400_000_000L;
  private static final long MIN_NESTED_OVERDUE_NANOS = 3_000_000_000L;
  private static final int MAX_ABANDONED = 1_024;

  private final RouteBaselines baselines;
  private final Set<PacedCall> running = new LinkedHashSet<>();
  private final Deque<Long> abandonedUntilNanos = new ArrayDeque<>();
  private int overdue;

  RunningCalls(RouteBaselines baselines) {
    this.baselines = baselines;
  }

  void add(PacedCall call) {
    running.add(call);
  }

  /** Removes a call that ended; returns whether it was running. */
  boolean remove(PacedCall call) {
    if (!running.remove(call)) {
      return false;
    }
    overdue -= call.isOverdue() ? 1 : 0;
    return true;
  }

  int count() {
    return running.size();
  }

  int overdueCount() {
    return overdue;
  }

  /** Marks calls that have become overdue and returns their number. */
  int markOverdue(long nowNanos) {
    int marked = 0;
    for (PacedCall call : running) {
      if (!call.isOverdue() && nowNanos - call.sentNanos() >= overdueAfterNanos(call.route())) {
        call.markOverdue();
        marked++;
      }
    }
    overdue += marked;
    return marked;
  }

  /**
   * Returns the time after which a call of a route is overdue. While the usual time of its route is
   * not known, no time is too long.
   */
  long overdueAfterNanos(String route) {
    double usualUs = baselines.usualUs(route);
    if (usualUs == 0) {
      return Long.MAX_VALUE;
    }
    // Calls that wait for nested ones may take much longer than usual without any fault here.
    long leastNanos = baselines.isNested(route) ? MIN_NESTED_OVERDUE_NANOS : MIN_OVERDUE_NANOS;
    return Math.max(leastNanos, (long) (OVERDUE_FACTOR * expectedNanos(usualUs)));
  }

  /** Returns the shortest time after which one of the overdue calls was overdue. */
  long shortestOverdueNanos() {
    return running.stream()
        .filter(PacedCall::isOverdue)
        .mapToLong(call -> overdueAfterNanos(call.route()))
        .min()
        .orElse(Long.MAX_VALUE);
  }

  private double expectedNanos(double usualUs) {
    return usualUs * 1e3 * baselines.recentSlowdown();
  }

  /** Records that a call that may still run in the target was abandoned. */
  void addAbandoned(PacedCall call, long nowNanos) {
    long untilNanos = call.sentNanos() + (long) expectedNanos(baselines.usualUs(call.route()));
    if (untilNanos - nowNanos > 0 && abandonedUntilNanos.size() < MAX_ABANDONED) {
      abandonedUntilNanos.addLast(untilNanos);
    }
  }

  /** Returns how many abandoned calls may still run in the target. */
  int abandonedCount(long nowNanos) {
    if (!abandonedUntilNanos.isEmpty()) {
      abandonedUntilNanos.removeIf(untilNanos -> untilNanos - nowNanos <= 0);
    }
    return abandonedUntilNanos.size();
  }

  /** Forgets abandoned calls, for a new lifetime of the target. */
  void clearAbandoned() {
    abandonedUntilNanos.clear();
  }
}
