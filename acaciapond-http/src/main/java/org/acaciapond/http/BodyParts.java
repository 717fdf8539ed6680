package org.acaciapond.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;

/** Long body that is written in parts, as the connection takes them. */
final class BodyParts {

  /** Longest body that is written at once with its head. */
  static final int PART_BYTES = 16 << 10;

  private final byte[] body;
  private int position;

  BodyParts(byte[] body) {
    this.body = body;
  }

  boolean hasNext() {
    return position < body.length;
  }

  /** Returns the next part; the last one ends the message. */
  HttpContent next() {
    int count = Math.min(PART_BYTES, body.length - position);
    ByteBuf part = Unpooled.wrappedBuffer(body, position, count);
    position += count;
    return hasNext() ? new DefaultHttpContent(part) : new DefaultLastHttpContent(part);
  }
}
