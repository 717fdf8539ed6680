package org.acaciapond.node.proxy;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.acaciapond.common.time.TimeSource;

/**
 * Coordinator of a listener that leaves: it accepts new calls for a set delay, then refuses them,
 * and is idle once the last accepted call has ended. Safe for several threads.
 */
final class DrainCoordinator {

  private static final long NOT_LEAVING = Long.MIN_VALUE;

  /** Set in the state when no call is accepted any more; the lower bits count calls in flight. */
  private static final long CLOSED = 1L << 62;

  private final TimeSource time;
  private final long delayNanos;
  private final AtomicLong leavingSinceNanos = new AtomicLong(NOT_LEAVING);
  private final AtomicLong state = new AtomicLong();
  private volatile boolean forGood;
  private final CompletableFuture<Void> idle = new CompletableFuture<>();

  DrainCoordinator(TimeSource time, long delayNanos) {
    this.time = time;
    this.delayNanos = delayNanos;
  }

  /** Starts the delay unless it has started. */
  void leave() {
    leavingSinceNanos.compareAndSet(NOT_LEAVING, time.nanoTime());
  }

  /** Starts the delay unless it has started, and ignores a later {@link #stay()}. */
  void leaveForGood() {
    forGood = true;
    leave();
  }

  /** Ends leaving, for a target that announces itself again. */
  void stay() {
    if (!forGood && leavingSinceNanos.get() != NOT_LEAVING) {
      leavingSinceNanos.set(NOT_LEAVING);
    }
  }

  /** Returns the time until new calls are refused; 0 when they are refused now. */
  long nanosUntilRefusal() {
    long since = leavingSinceNanos.get();
    return since == NOT_LEAVING
        ? Long.MAX_VALUE
        : Math.max(0, delayNanos - (time.nanoTime() - since));
  }

  /** Counts a new call in; returns false when it must be refused as not run. */
  boolean tryEnter() {
    if (nanosUntilRefusal() == 0) {
      return false;
    }
    while (true) {
      long current = state.get();
      if ((current & CLOSED) != 0) {
        return false;
      }
      if (state.compareAndSet(current, current + 1)) {
        return true;
      }
    }
  }

  /** Counts a call out. */
  void exit() {
    if (state.decrementAndGet() == CLOSED) {
      idle.complete(null);
    }
  }

  /** Refuses all new calls from now on; the result completes when none is in flight. */
  CompletableFuture<Void> close() {
    if (state.updateAndGet(current -> current | CLOSED) == CLOSED) {
      idle.complete(null);
    }
    return idle;
  }

  /** Returns the calls in flight. */
  long inFlight() {
    return state.get() & ~CLOSED;
  }
}
