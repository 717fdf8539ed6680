package org.acaciapond.node.proxy;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.acaciapond.common.time.TimeSource;

/**
 * Drain coordinator of a listener: after draining starts it accepts new calls for a fixed delay,
 * then refuses them, and becomes idle when the last accepted call has ended. Safe for concurrent
 * use.
 */
final class DrainCoordinator {

  private static final long NOT_DRAINING = Long.MIN_VALUE;

  /** State bit that is set once new calls are refused; lower bits count the calls in flight. */
  private static final long CLOSED_FLAG = 1L << 62;

  private final TimeSource time;
  private final long delayNanos;
  private final AtomicLong drainStartNanos = new AtomicLong(NOT_DRAINING);
  private final AtomicLong state = new AtomicLong();
  private volatile boolean finalDrain;
  private final CompletableFuture<Void> idle = new CompletableFuture<>();

  DrainCoordinator(TimeSource time, long delayNanos) {
    this.time = time;
    this.delayNanos = delayNanos;
  }

  /** Starts the delay before refusals unless it has already started. */
  void startDrain() {
    drainStartNanos.compareAndSet(NOT_DRAINING, time.nanoTime());
  }

  /** Starts the delay unless it has already started, and ignores a later {@link #cancelDrain()}. */
  void startFinalDrain() {
    finalDrain = true;
    startDrain();
  }

  /** Cancels draining, for a target that announces itself as available again. */
  void cancelDrain() {
    if (!finalDrain && drainStartNanos.get() != NOT_DRAINING) {
      drainStartNanos.set(NOT_DRAINING);
    }
  }

  /** Returns the time until new calls are refused, or 0 if they are refused now. */
  long nanosUntilRefusal() {
    long start = drainStartNanos.get();
    return start == NOT_DRAINING
        ? Long.MAX_VALUE
        : Math.max(0, delayNanos - (time.nanoTime() - start));
  }

  /** Counts a new call as in flight; returns false if it must be refused as not run. */
  boolean tryStartCall() {
    if (nanosUntilRefusal() == 0) {
      return false;
    }
    while (true) {
      long current = state.get();
      if ((current & CLOSED_FLAG) != 0) {
        return false;
      }
      if (state.compareAndSet(current, current + 1)) {
        return true;
      }
    }
  }

  /** Records the end of a call that {@link #tryStartCall()} accepted. */
  void onCallEnded() {
    if (state.decrementAndGet() == CLOSED_FLAG) {
      idle.complete(null);
    }
  }

  /** Refuses all new calls from now on; the result completes when no call is in flight. */
  CompletableFuture<Void> close() {
    if (state.updateAndGet(current -> current | CLOSED_FLAG) == CLOSED_FLAG) {
      idle.complete(null);
    }
    return idle;
  }

  /** Returns the number of calls in flight. */
  long inFlight() {
    return state.get() & ~CLOSED_FLAG;
  }
}
