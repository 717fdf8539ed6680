package org.acaciapond.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import org.jspecify.annotations.Nullable;

/** Body of a message while it arrives. */
final class BodyBuffer {

  private static final int MAX_COMPONENTS = 256;

  private @Nullable CompositeByteBuf bytes;

  int size() {
    CompositeByteBuf held = bytes;
    return held == null ? 0 : held.readableBytes();
  }

  void add(ByteBuf part) {
    if (part.isReadable()) {
      CompositeByteBuf held = bytes;
      if (held == null) {
        held = Unpooled.compositeBuffer(MAX_COMPONENTS);
        bytes = held;
      }
      held.addComponent(true, part.retain());
    }
  }

  /** Returns what has arrived and empties the buffer. */
  byte[] take() {
    CompositeByteBuf held = bytes;
    if (held == null) {
      return new byte[0];
    }
    bytes = null;
    byte[] copy = new byte[held.readableBytes()];
    held.readBytes(copy);
    held.release();
    return copy;
  }
}
