package org.acaciapond.sidecar.hostile;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Bytes that a client sends: a start, a block that is repeated, and an end. A client that stops
 * short sends no end and keeps its connection open.
 */
record RequestScript(byte[] start, byte[] block, int repeats, byte[] end) {

  static RequestScript of(String start, String block, int repeats, String end) {
    return new RequestScript(bytes(start), bytes(block), repeats, bytes(end));
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  RequestScript stoppedShort() {
    return new RequestScript(start, block, repeats, new byte[0]);
  }

  /** Returns the part that begins at a position, or an empty buffer at the end of the script. */
  ByteBuffer from(long position) {
    if (position < start.length) {
      return slice(start, (int) position);
    }
    long inBlocks = position - start.length;
    long blockBytes = (long) block.length * repeats;
    if (inBlocks < blockBytes) {
      return slice(block, (int) (inBlocks % block.length));
    }
    return slice(end, (int) Math.min(end.length, inBlocks - blockBytes));
  }

  private static ByteBuffer slice(byte[] bytes, int offset) {
    return ByteBuffer.wrap(bytes, offset, bytes.length - offset);
  }
}
