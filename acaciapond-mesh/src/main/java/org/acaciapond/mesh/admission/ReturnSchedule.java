package org.acaciapond.mesh.admission;

/**
 * Schedule of the times at which refused callers of one service are told to return. Callers that
 * are refused in the same moment would otherwise return together to the room for one of them. Not
 * thread-safe.
 */
public final class ReturnSchedule {

  private long nextNanos = Long.MIN_VALUE;

  /**
   * Returns the delay after which a refused caller should return, and takes the room at that time.
   *
   * @param earliestMs time after which a slot is expected to be free
   * @param latestMs longest time that the caller waits
   * @param intervalNanos mean time between slots that become free for the callers of this node
   * @param nowNanos monotonic time
   */
  public int delayMs(int earliestMs, int latestMs, long intervalNanos, long nowNanos) {
    long earliestNanos = nowNanos + earliestMs * 1_000_000L;
    long atNanos = nextNanos == Long.MIN_VALUE ? earliestNanos : Math.max(nextNanos, earliestNanos);
    long latestNanos = nowNanos + Math.max(earliestMs, latestMs) * 1_000_000L;
    if (atNanos > latestNanos) {
      // All room until then is taken; this caller takes none of a later time.
      return (int) ((latestNanos - nowNanos) / 1_000_000);
    }
    nextNanos = atNanos + intervalNanos;
    return (int) ((atNanos - nowNanos) / 1_000_000);
  }
}
