package org.acaciapond.http;

/**
 * Limit of the bytes that the response bodies of several connections hold at once; confined to the
 * event loop. A server that sends without end on many connections therefore cannot use up the
 * memory of the process.
 */
public final class BodyBudget {

  private final int maxBytes;
  private int usedBytes;

  /** Creates a budget. */
  public BodyBudget(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Reserves bytes; returns whether they were available. */
  boolean tryReserve(int bytes) {
    if (bytes > maxBytes - usedBytes) {
      return false;
    }
    usedBytes += bytes;
    return true;
  }

  /** Returns reserved bytes. */
  void release(int bytes) {
    usedBytes -= bytes;
  }
}
