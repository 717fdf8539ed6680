package org.acaciapond.http;

import java.util.function.LongSupplier;

/** Body on its way from or to a client, for which the process holds memory. */
final class Transfer {

  private static final long UNKNOWN = Long.MAX_VALUE;

  private final LongSupplier heldBytes;
  private final Runnable onEvicted;
  private long movedBytes;
  private long movedAtLastCheck;
  private long recentBytes = UNKNOWN;
  private boolean checked;

  /**
   * Creates a transfer.
   *
   * @param heldBytes returns the bytes that are held for it
   * @param onEvicted ends it and releases its bytes
   */
  Transfer(LongSupplier heldBytes, Runnable onEvicted) {
    this.heldBytes = heldBytes;
    this.onEvicted = onEvicted;
  }

  /** Records bytes that were received or sent. */
  void moved(long bytes) {
    movedBytes += bytes;
  }

  // The interval between the start of a transfer and its first check may be very short.
  void check() {
    if (checked) {
      recentBytes = movedBytes - movedAtLastCheck;
    }
    checked = true;
    movedAtLastCheck = movedBytes;
  }

  /** Forgets the progress, before the next body of the same connection. */
  void restart() {
    recentBytes = UNKNOWN;
    checked = false;
  }

  long heldBytes() {
    return heldBytes.getAsLong();
  }

  /** Returns the bytes moved between the last two checks; a very large number before those. */
  long recentBytes() {
    return recentBytes;
  }

  /** Returns whether it has moved less than another, or as little and holds more. */
  boolean isWorseThan(Transfer other) {
    return recentBytes != other.recentBytes
        ? recentBytes < other.recentBytes
        : heldBytes() > other.heldBytes();
  }

  void end() {
    onEvicted.run();
  }
}
