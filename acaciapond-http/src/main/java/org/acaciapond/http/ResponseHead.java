package org.acaciapond.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Status and headers of a response.
 *
 * @param status status code
 * @param headers alternating names and values
 */
public record ResponseHead(int status, List<String> headers) {

  private static final int MAX_DECODED_BYTES = 8_192;

  static ResponseHead of(HttpResponse response) {
    return new ResponseHead(response.status().code(), HttpMessage.toList(response.headers()));
  }

  /**
   * Decodes the head of the response that the bytes begin with, without reading them.
   *
   * @return the head; null if it is incomplete, too long or invalid
   */
  static @Nullable ResponseHead decode(ByteBuf bytes) {
    int length = Math.min(bytes.readableBytes(), MAX_DECODED_BYTES);
    EmbeddedChannel channel = new EmbeddedChannel(new HttpResponseDecoder());
    try {
      channel.writeInbound(bytes.copy(bytes.readerIndex(), length));
      Object first = channel.readInbound();
      boolean decoded =
          first instanceof HttpResponse response && response.decoderResult().isSuccess();
      ReferenceCountUtil.release(first);
      return decoded ? of((HttpResponse) first) : null;
    } finally {
      channel.finishAndReleaseAll();
    }
  }
}
