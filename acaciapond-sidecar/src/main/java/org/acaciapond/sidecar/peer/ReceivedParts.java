package org.acaciapond.sidecar.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.acaciapond.http.MemoryAccount;

/**
 * Parts of bodies that have arrived on one connection between nodes before the ends of the bodies.
 */
final class ReceivedParts {

  private final int maxBytes;
  private final MemoryAccount memory;
  private final Map<Long, List<byte[]>> parts = new HashMap<>();
  private int bytes;

  /**
   * Creates an empty collection.
   *
   * @param maxBytes maximum number of bytes of all incomplete bodies
   * @param memory account in which the bytes are reserved
   */
  ReceivedParts(int maxBytes, MemoryAccount memory) {
    this.maxBytes = maxBytes;
    this.memory = memory;
  }

  /** Adds a part; returns whether there is room for it. */
  boolean add(long callNumber, byte[] part) {
    if (part.length > maxBytes - bytes || !memory.reserveOrEvict(part.length)) {
      return false;
    }
    bytes += part.length;
    parts.computeIfAbsent(callNumber, number -> new ArrayList<>()).add(part);
    return true;
  }

  /** Returns the body that ends with {@code rest}, and drops its parts. */
  byte[] complete(long callNumber, byte[] rest) {
    List<byte[]> received = parts.get(callNumber);
    if (received == null) {
      return rest;
    }
    byte[] body = new byte[received.stream().mapToInt(each -> each.length).sum() + rest.length];
    int position = 0;
    for (byte[] part : received) {
      System.arraycopy(part, 0, body, position, part.length);
      position += part.length;
    }
    System.arraycopy(rest, 0, body, position, rest.length);
    remove(callNumber);
    return body;
  }

  /** Drops the parts of a body. */
  void remove(long callNumber) {
    List<byte[]> removed = parts.remove(callNumber);
    if (removed != null) {
      release(removed.stream().mapToInt(each -> each.length).sum());
    }
  }

  /** Drops all parts. */
  void clear() {
    parts.clear();
    release(bytes);
  }

  private void release(int count) {
    bytes -= count;
    memory.release(count);
  }
}
