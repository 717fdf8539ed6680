package org.acaciapond.mesh.pace;

/**
 * Decides when callers are told a new capacity of the target: at a change of state, or if it
 * differs noticeably from the last one that they were told, and at most a few times a second.
 */
public final class CapacityReport {

  private static final long MIN_INTERVAL_NANOS = 250_000_000L;
  private static final double NOTICEABLE_SHARE = 0.25;

  private PaceState state = PaceState.OPEN;
  private int capacity;
  private long reportedNanos;

  /** Creates a report that has told nothing. */
  public CapacityReport(long nowNanos) {
    this.reportedNanos = nowNanos - MIN_INTERVAL_NANOS;
  }

  /** Returns whether callers are to be told a capacity now. */
  public boolean isDue(PaceState currentState, int currentCapacity, long nowNanos) {
    if (nowNanos - reportedNanos < MIN_INTERVAL_NANOS || currentCapacity == capacity) {
      return false;
    }
    double noticeable = Math.max(1, NOTICEABLE_SHARE * capacity);
    return currentState != state || Math.abs(currentCapacity - capacity) >= noticeable;
  }

  /** Records that callers were told a capacity. */
  public void recordReported(PaceState currentState, int currentCapacity, long nowNanos) {
    state = currentState;
    capacity = currentCapacity;
    reportedNanos = nowNanos;
  }
}
