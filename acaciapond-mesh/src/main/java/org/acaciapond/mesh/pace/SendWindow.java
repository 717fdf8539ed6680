package org.acaciapond.mesh.pace;

import java.util.ArrayDeque;
import java.util.Deque;

/** Times of the calls that were sent to the target within the last second. */
final class SendWindow {

  /** Length of the window, with a margin for calls that take differently long to arrive. */
  static final long LENGTH_NANOS = 1_050_000_000L;

  private final Deque<Long> sentNanos = new ArrayDeque<>();
  private final long unknownUntilNanos;

  /**
   * Creates a window of a node that has just started and does not know what was sent before.
   *
   * @param nowNanos monotonic time of the start
   */
  SendWindow(long nowNanos) {
    this.unknownUntilNanos = nowNanos + LENGTH_NANOS;
  }

  void record(long nowNanos) {
    removeOld(nowNanos);
    sentNanos.addLast(nowNanos);
  }

  /** Returns whether one more call now keeps the window at or below a number of calls. */
  boolean hasRoom(double maxCalls, long nowNanos) {
    removeOld(nowNanos);
    return nowNanos - unknownUntilNanos >= 0 && sentNanos.size() + 1 <= maxCalls;
  }

  /** Returns the monotonic time at which there is room for a call, unless more are sent. */
  long roomAtNanos(double maxCalls, long nowNanos) {
    removeOld(nowNanos);
    if (nowNanos - unknownUntilNanos < 0) {
      return unknownUntilNanos;
    }
    if (sentNanos.size() + 1 <= maxCalls) {
      return nowNanos;
    }
    Long oldest = sentNanos.peekFirst();
    return (oldest == null ? nowNanos : oldest) + LENGTH_NANOS;
  }

  private void removeOld(long nowNanos) {
    while (!sentNanos.isEmpty() && nowNanos - sentNanos.peekFirst() >= LENGTH_NANOS) {
      sentNanos.removeFirst();
    }
  }
}
