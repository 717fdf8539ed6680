package org.acaciapond.http;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;

/**
 * Buffer for the body of a message that is being received. The bytes are copied, because a chunk of
 * a few bytes would otherwise retain the whole buffer that it was read into.
 */
final class BodyBuffer {

  private static final int SEGMENT_BYTES = 64 << 10;
  private static final int MIN_SEGMENT_BYTES = 512;
  private static final byte[] EMPTY = {};

  private final List<byte[]> full = new ArrayList<>();
  private byte[] last = EMPTY;
  private int lastUsed;
  private int size;
  private int expected;

  int size() {
    return size;
  }

  /** Announces the length of the body, which is then received into one array. */
  void expect(int bytes) {
    expected = bytes;
    if (size > 0) {
      byte[] whole = new byte[bytes];
      copyTo(whole);
      full.clear();
      last = whole;
      lastUsed = size;
    }
  }

  void add(ByteBuf part) {
    while (part.isReadable()) {
      if (lastUsed == last.length) {
        addSegment(part.readableBytes());
      }
      int count = Math.min(part.readableBytes(), last.length - lastUsed);
      part.readBytes(last, lastUsed, count);
      lastUsed += count;
      size += count;
    }
  }

  private void addSegment(int needed) {
    if (last.length > 0) {
      full.add(last);
    }
    int growth = Math.max(MIN_SEGMENT_BYTES, Math.min(SEGMENT_BYTES, size));
    last = new byte[size < expected ? expected - size : Math.max(needed, growth)];
    lastUsed = 0;
  }

  /** Discards the received bytes. */
  void clear() {
    full.clear();
    last = EMPTY;
    lastUsed = 0;
    size = 0;
    expected = 0;
  }

  /** Returns the received bytes and clears the buffer. */
  byte[] take() {
    byte[] body = full.isEmpty() && lastUsed == last.length ? last : copy();
    clear();
    return body;
  }

  private byte[] copy() {
    byte[] body = new byte[size];
    copyTo(body);
    return body;
  }

  // Drops each segment once it is copied.
  private void copyTo(byte[] body) {
    int position = 0;
    for (int i = 0; i < full.size(); i++) {
      byte[] segment = full.get(i);
      System.arraycopy(segment, 0, body, position, segment.length);
      position += segment.length;
      full.set(i, EMPTY);
    }
    System.arraycopy(last, 0, body, position, lastUsed);
  }
}
