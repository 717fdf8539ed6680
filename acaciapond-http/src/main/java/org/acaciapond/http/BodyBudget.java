package org.acaciapond.http;

/**
 * Limit of the bytes that the response bodies of several connections hold at once; confined to the
 * event loop. A server that sends without end on many connections therefore cannot use up the
 * memory of the process.
 */
public final class BodyBudget {

  private final int maxBytes;
  private final MemoryAccount memory;
  private int usedBytes;

  /** Creates a budget. */
  public BodyBudget(int maxBytes) {
    this(maxBytes, MemoryAccount.unlimited());
  }

  /** Creates a budget whose bytes are also reserved in an account. */
  public BodyBudget(int maxBytes, MemoryAccount memory) {
    this.maxBytes = maxBytes;
    this.memory = memory;
  }

  /** Reserves bytes; returns whether they were available. */
  boolean tryReserve(int bytes) {
    if (bytes > maxBytes - usedBytes || !memory.reserveOrEvict(bytes)) {
      return false;
    }
    usedBytes += bytes;
    return true;
  }

  /**
   * Reserves further bytes of a body; returns whether they were available.
   *
   * @param bytes further bytes
   * @param bodyBytes bytes of the body with these
   */
  boolean tryReserve(int bytes, int bodyBytes) {
    if (bodyBytes > MemoryAccount.ORDINARY_BYTES) {
      return tryReserve(bytes);
    }
    if (bytes > maxBytes - usedBytes) {
      return false;
    }
    // A response of ordinary size is not dropped for its memory.
    if (!memory.reserveOrdinary(bytes)) {
      memory.add(bytes);
    }
    usedBytes += bytes;
    return true;
  }

  /** Returns reserved bytes. */
  void release(int bytes) {
    usedBytes -= bytes;
    memory.release(bytes);
  }
}
