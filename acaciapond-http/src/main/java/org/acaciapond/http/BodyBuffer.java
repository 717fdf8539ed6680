package org.acaciapond.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import org.jspecify.annotations.Nullable;

/** Buffer for the body of a message that is being received. */
final class BodyBuffer {

  private static final int MAX_COMPONENTS = 256;

  private @Nullable CompositeByteBuf received;

  int size() {
    CompositeByteBuf buffer = received;
    return buffer == null ? 0 : buffer.readableBytes();
  }

  void add(ByteBuf part) {
    if (part.isReadable()) {
      CompositeByteBuf buffer = received;
      if (buffer == null) {
        buffer = Unpooled.compositeBuffer(MAX_COMPONENTS);
        received = buffer;
      }
      buffer.addComponent(true, part.retain());
    }
  }

  /** Discards the received bytes. */
  void clear() {
    CompositeByteBuf buffer = received;
    if (buffer != null) {
      received = null;
      buffer.release();
    }
  }

  /** Returns the received bytes and clears the buffer. */
  byte[] take() {
    CompositeByteBuf buffer = received;
    if (buffer == null) {
      return new byte[0];
    }
    received = null;
    byte[] copy = new byte[buffer.readableBytes()];
    buffer.readBytes(copy);
    buffer.release();
    return copy;
  }
}
