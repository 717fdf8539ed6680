package org.acaciapond.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decoder of responses that rejects broken ones, which the decoder of the library lets pass. The
 * head or the end of a broken response has a failed decoder result with an {@link
 * InvalidResponseException}.
 *
 * <p>A response without a length is complete only if the end of the stream was read. The decoder of
 * the library takes each closed connection for that end, also one that was closed because a write
 * failed after a reset. {@link HeadScanner} tells what is checked in a head.
 */
class ResponseDecoder extends HttpResponseDecoder {

  private final HeadScanner head = new HeadScanner();
  private boolean readingHead = true;
  private boolean endsWithStream;
  private boolean connectionFailed;
  private boolean streamEnded;

  ResponseDecoder(int maxInitialLineBytes, int maxHeaderBytes, int maxChunkBytes) {
    super(maxInitialLineBytes, maxHeaderBytes, maxChunkBytes);
  }

  /** Returns the received bytes that have not been decoded yet. */
  ByteBuf undecodedBytes() {
    return internalBuffer();
  }

  /** Returns whether the end of a response is known before its connection ends. */
  static boolean isEndKnown(HttpResponse response) {
    int status = response.status().code();
    return response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        || HttpUtil.isTransferEncodingChunked(response)
        || status == 204
        || status == 304;
  }

  // With half-closure, the end of the stream is an event of its own and can be told from a failure.
  @Override
  public void handlerAdded(ChannelHandlerContext context) throws Exception {
    super.handlerAdded(context);
    context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
  }

  // Netty reports a failed read first as an exception and then as the end of the stream.
  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) throws Exception {
    connectionFailed = true;
    super.exceptionCaught(context, cause);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
    if (event instanceof ChannelInputShutdownEvent) {
      streamEnded = !connectionFailed;
      super.userEventTriggered(context, event);
      context.close();
    } else {
      super.userEventTriggered(context, event);
    }
  }

  // A call decodes either bytes of a head, up to its end at most, or bytes of a body.
  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    int start = in.readerIndex();
    int decodedBefore = out.size();
    super.decode(context, in, out);
    if (readingHead) {
      in.forEachByte(start, in.readerIndex() - start, head);
    }
    for (int i = decodedBefore; i < out.size(); i++) {
      if (out.get(i) instanceof HttpResponse response) {
        onHead(response);
      }
      if (out.get(i) instanceof LastHttpContent) {
        onEnd();
      }
    }
  }

  private void onHead(HttpResponse response) {
    readingHead = false;
    endsWithStream = !isEndKnown(response);
    ResponseErrorCode error = head.error();
    if (error != null && response.decoderResult().isSuccess()) {
      response.setDecoderResult(failure(error, "head is invalid"));
    }
  }

  private void onEnd() {
    readingHead = true;
    endsWithStream = false;
    head.reset();
  }

  @Override
  protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    int decodedBefore = out.size();
    super.decodeLast(context, in, out);
    if (streamEnded || !endsWithStream) {
      return;
    }
    for (int i = decodedBefore; i < out.size(); i++) {
      if (out.get(i) instanceof LastHttpContent) {
        out.set(i, resetEnd());
      }
    }
  }

  private static LastHttpContent resetEnd() {
    LastHttpContent end = new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER);
    end.setDecoderResult(
        failure(
            ResponseErrorCode.RESPONSE_RESET,
            "connection was reset during a response without a length"));
    return end;
  }

  private static DecoderResult failure(ResponseErrorCode code, String message) {
    return DecoderResult.failure(new InvalidResponseException(code, message));
  }
}
