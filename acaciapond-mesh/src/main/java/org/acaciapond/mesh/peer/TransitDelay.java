package org.acaciapond.mesh.peer;

/**
 * Estimate of the transit times of the messages on one connection. The clocks of two hosts are not
 * comparable, so a transit time is relative to the fastest message of the last seconds.
 */
public final class TransitDelay {

  // The clock of a suspended host stands still, which makes all later messages look late until the
  // window is over.
  private static final long WINDOW_NANOS = 5_000_000_000L;

  private long windowStartNanos;
  private long previousMinMs = Long.MAX_VALUE;
  private long currentMinMs = Long.MAX_VALUE;

  /**
   * Returns the transit time of a message in milliseconds.
   *
   * @param sentMs monotonic time of the sender at which it sent the message
   * @param receivedNanos monotonic time of this node at which it handles the message
   */
  public int measureMs(long sentMs, long receivedNanos) {
    if (receivedNanos - windowStartNanos > WINDOW_NANOS) {
      previousMinMs = currentMinMs;
      currentMinMs = Long.MAX_VALUE;
      windowStartNanos = receivedNanos;
    }
    long differenceMs = receivedNanos / 1_000_000 - sentMs;
    currentMinMs = Math.min(currentMinMs, differenceMs);
    long fastestMs = Math.min(currentMinMs, previousMinMs);
    return (int) Math.min(Integer.MAX_VALUE, differenceMs - fastestMs);
  }
}
