package org.acaciapond.mesh.limit;

/**
 * Detection of a time that the monotonic clock did not count because the host was suspended: the
 * time of day then is further ahead of it than before. A suspension is not detected if the time of
 * day is set back by as much while it lasts.
 */
public final class SuspensionCheck {

  private static final long MAX_CLOCK_STEP_MS = 200;

  private long offsetMs;
  private boolean checked;

  /** Returns whether the host was suspended since the last check. */
  public boolean isSuspected(long nowNanos, long wallMs) {
    long currentMs = wallMs - nowNanos / 1_000_000;
    boolean suspected = checked && currentMs - offsetMs > MAX_CLOCK_STEP_MS;
    checked = true;
    offsetMs = currentMs;
    return suspected;
  }
}
