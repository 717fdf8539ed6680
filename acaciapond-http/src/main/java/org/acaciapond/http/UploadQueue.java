package org.acaciapond.http;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Admission of long request bodies to the memory account. A body that finds no room waits for a
 * bounded time, during which its connection is not read, and is refused afterwards.
 */
final class UploadQueue {

  // Clients give up a request that is not read within a second.
  private static final long MAX_WAIT_NANOS = 1_000_000_000L;
  // Each waiting connection holds what was read before it was paused.
  private static final int MAX_WAITING = 32;

  private final MemoryAccount account;
  private final Deque<Waiting> waiting = new ArrayDeque<>();

  /** Receiver of the decision on an upload that waits. */
  interface Upload {
    /** The bytes are reserved. */
    void onGranted();

    /** There was no room in time. */
    void onRefused();
  }

  /** Result of a request for memory. */
  enum Decision {
    GRANTED,
    WAITS,
    REFUSED
  }

  private record Waiting(Upload upload, long bytes, long sinceNanos) {}

  UploadQueue(MemoryAccount account) {
    this.account = account;
  }

  Decision request(Upload upload, long bytes, long nowNanos) {
    if (waiting.isEmpty() && account.tryReserve(bytes)) {
      return Decision.GRANTED;
    }
    if (waiting.size() >= MAX_WAITING) {
      return Decision.REFUSED;
    }
    waiting.add(new Waiting(upload, bytes, nowNanos));
    return Decision.WAITS;
  }

  void remove(Upload upload) {
    waiting.removeIf(each -> each.upload == upload);
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  /** Grants memory to waiting uploads in the order of their requests. */
  void grantWaiting() {
    while (!waiting.isEmpty() && account.tryReserve(waiting.peek().bytes)) {
      waiting.remove().upload.onGranted();
    }
  }

  /** Ends transfers without progress for the uploads that wait, and refuses the latter in time. */
  void check(long nowNanos) {
    while (!waiting.isEmpty() && account.evict(waiting.peek().bytes)) {
      grantWaiting();
    }
    List<Waiting> late = new ArrayList<>();
    while (!waiting.isEmpty() && nowNanos - waiting.peek().sinceNanos > MAX_WAIT_NANOS) {
      late.add(waiting.remove());
    }
    late.forEach(each -> each.upload.onRefused());
  }
}
