package org.acaciapond.http;

import java.util.LinkedHashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Account of the bytes that a process holds for others: bodies that are received, that wait, and
 * that are sent; confined to the event loop. A part of it is kept for messages of ordinary size, so
 * that they are served while long bodies use up the rest.
 */
public final class MemoryAccount {

  /** Longest body of ordinary size. */
  public static final int ORDINARY_BYTES = 64 << 10;

  private static final int RESERVE_DIVISOR = 6;
  // A transfer that moves less than this between two checks may be ended for others.
  private static final int MIN_PROGRESS_BYTES = 4 << 10;

  private final long limitBytes;
  private final long longBodyLimitBytes;
  private final Set<Transfer> transfers = new LinkedHashSet<>();
  private Runnable releaseListener = () -> {};
  private long usedBytes;
  private long peakBytes;

  /** Creates an account with a limit of the bytes held. */
  public MemoryAccount(long limitBytes) {
    this.limitBytes = limitBytes;
    this.longBodyLimitBytes = limitBytes - limitBytes / RESERVE_DIVISOR;
  }

  /** Creates an account that permits any number of bytes. */
  public static MemoryAccount unlimited() {
    return new MemoryAccount(Long.MAX_VALUE);
  }

  /** Sets the action to run after bytes were released. */
  void setReleaseListener(Runnable listener) {
    releaseListener = listener;
  }

  /** Reserves bytes of a long body; returns whether they were available. */
  public boolean tryReserve(long bytes) {
    if (bytes > longBodyLimitBytes - usedBytes) {
      return false;
    }
    add(bytes);
    return true;
  }

  /**
   * Reserves bytes of a long body, and ends transfers without progress if that is necessary;
   * returns whether they are available.
   */
  public boolean reserveOrEvict(long bytes) {
    return tryReserve(bytes) || (evict(bytes, longBodyLimitBytes) && tryReserve(bytes));
  }

  /**
   * Reserves bytes of a message of ordinary size, and ends transfers without progress if that is
   * necessary; returns whether they are available.
   */
  public boolean reserveOrdinary(long bytes) {
    if (bytes > limitBytes - usedBytes && !evict(bytes, limitBytes)) {
      return false;
    }
    add(bytes);
    return true;
  }

  /** Adds bytes that are held already, even beyond the limit. */
  public void add(long bytes) {
    usedBytes += bytes;
    peakBytes = Math.max(peakBytes, usedBytes);
  }

  /** Returns reserved bytes. */
  public void release(long bytes) {
    if (bytes > 0) {
      usedBytes -= bytes;
      releaseListener.run();
    }
  }

  /** Returns the bytes held. */
  public long usedBytes() {
    return usedBytes;
  }

  /** Returns the largest number of bytes held so far. */
  public long peakBytes() {
    return peakBytes;
  }

  /** Returns the limit of the bytes held. */
  public long limitBytes() {
    return limitBytes;
  }

  void register(Transfer transfer) {
    transfers.add(transfer);
  }

  void unregister(Transfer transfer) {
    transfers.remove(transfer);
  }

  /** Records what each transfer has moved since the last check. */
  void check() {
    transfers.forEach(Transfer::check);
  }

  /**
   * Ends transfers without progress until some bytes are available to a long body; returns whether
   * they are.
   */
  boolean evict(long bytes) {
    return evict(bytes, longBodyLimitBytes);
  }

  private boolean evict(long bytes, long limit) {
    while (bytes > limit - usedBytes) {
      Transfer slowest = slowest();
      if (slowest == null) {
        return false;
      }
      transfers.remove(slowest);
      slowest.end();
    }
    return true;
  }

  private @Nullable Transfer slowest() {
    Transfer slowest = null;
    for (Transfer each : transfers) {
      if (each.heldBytes() > 0
          && each.recentBytes() < MIN_PROGRESS_BYTES
          && (slowest == null || each.isWorseThan(slowest))) {
        slowest = each;
      }
    }
    return slowest;
  }
}
