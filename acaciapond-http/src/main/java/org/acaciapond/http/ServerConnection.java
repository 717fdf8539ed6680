package org.acaciapond.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.Context;
import io.vertx.core.net.impl.NetSocketInternal;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.acaciapond.common.time.TimeSource;
import org.jspecify.annotations.Nullable;

/**
 * Server side of one connection. Pipelined requests are handled concurrently, and their responses
 * are sent in the order of the requests. The socket is read also while requests wait, so that a
 * disconnected client is noticed.
 */
final class ServerConnection {

  private static final int MAX_INITIAL_LINE_BYTES = 16_384;
  private static final int CHUNK_BYTES = 65_536;
  // Leaves time for other connections.
  private static final int MAX_READS_AT_ONCE = 16;
  // Reads until nothing is left, so that the end of a connection is found together with the
  // requests before it.
  private static final RecvByteBufAllocator READ_EVERYTHING =
      new AdaptiveRecvByteBufAllocator()
          .respectMaybeMoreData(false)
          .maxMessagesPerRead(MAX_READS_AT_ONCE);
  // Limits the open requests of one client; reading resumes when enough responses have been sent.
  private static final int MAX_PIPELINED = 64;

  private final HttpListener listener;
  private final NetSocketInternal socket;
  private final TimeSource time;
  private final Deque<HttpExchange> exchanges = new ArrayDeque<>();
  private final ServerLimits limits;
  private final Context context;
  private @Nullable HttpExchange reading;
  private final BodyBuffer body = new BodyBuffer();
  private long partialSinceNanos = Long.MIN_VALUE;
  private long idleSinceNanos;
  private boolean closing;
  private boolean closed;
  private boolean paused;

  ServerConnection(
      HttpListener listener,
      NetSocketInternal socket,
      Context context,
      ServerLimits limits,
      TimeSource time) {
    this.listener = listener;
    this.context = context;
    this.socket = socket;
    this.limits = limits;
    this.time = time;
    this.idleSinceNanos = time.nanoTime();
  }

  void start() {
    Channel channel = socket.channelHandlerContext().channel();
    channel.config().setRecvByteBufAllocator(READ_EVERYTHING);
    ChannelPipeline pipeline = channel.pipeline();
    pipeline.addBefore("handler", "first-bytes", new FirstBytes());
    pipeline.addBefore(
        "handler",
        "decoder",
        new HttpRequestDecoder(MAX_INITIAL_LINE_BYTES, limits.maxHeaderBytes(), CHUNK_BYTES));
    pipeline.addBefore("handler", "encoder", new HttpResponseEncoder());
    socket.messageHandler(this::onMessage);
    socket.exceptionHandler(error -> listener.connectionFailed(error));
    socket.closeHandler(done -> onClose());
  }

  String clientHost() {
    return socket.remoteAddress().host();
  }

  /** Records when the first bytes of an incomplete request were received. */
  private final class FirstBytes extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
      if (partialSinceNanos == Long.MIN_VALUE) {
        partialSinceNanos = time.nanoTime();
      }
      super.channelRead(context, message);
    }
  }

  private void onMessage(Object message) {
    try {
      if (!closing && message instanceof HttpObject object) {
        onObject(object);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void onObject(HttpObject object) {
    DecoderResult result = object.decoderResult();
    if (result.isFailure()) {
      reject(result.cause() instanceof TooLongFrameException ? 431 : 400);
      return;
    }
    if (object instanceof HttpRequest request) {
      onHead(request);
    }
    if (object instanceof HttpContent content && reading != null) {
      onContent(reading, content);
    }
  }

  private void onHead(HttpRequest request) {
    if (request.headers().getAll(HttpHeaderNames.HOST).size() > 1) {
      reject(400);
      return;
    }
    reading =
        new HttpExchange(
            this,
            request.method().name(),
            request.uri(),
            HttpMessage.toList(request.headers()),
            HttpUtil.isKeepAlive(request),
            time.nanoTime());
    if (HttpUtil.is100ContinueExpected(request)) {
      socket.writeMessage(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void onContent(HttpExchange exchange, HttpContent content) {
    if (body.size() + content.content().readableBytes() > limits.maxBodyBytes()) {
      reject(413);
      return;
    }
    body.add(content.content());
    if (content instanceof LastHttpContent) {
      exchange.setBody(body.take());
      reading = null;
      partialSinceNanos = Long.MIN_VALUE;
      exchanges.add(exchange);
      if (exchanges.size() >= MAX_PIPELINED && !paused) {
        paused = true;
        socket.pause();
      }
      handleAfterRead(exchange);
    }
  }

  // A busy node may read a request after its client has left. The request is handled only after
  // everything that has arrived on the connection was read.
  private void handleAfterRead(HttpExchange exchange) {
    context.runOnContext(
        on -> {
          if (socket.channelHandlerContext().channel().isOpen()) {
            listener.handle(exchange);
          }
        });
  }

  // Responds to an invalid request after the requests before it, then closes the connection.
  private void reject(int status) {
    closing = true;
    body.clear();
    HttpExchange exchange = new HttpExchange(this, "", "", List.of(), false, time.nanoTime());
    reading = null;
    exchanges.add(exchange);
    listener.requestRejected(status, clientHost());
    exchange.respond(HttpResponse.empty(status, List.of()));
  }

  void flushResponses() {
    while (!closed) {
      HttpExchange first = exchanges.peek();
      HttpResponse pending = first == null ? null : first.response();
      if (first == null || pending == null) {
        return;
      }
      exchanges.remove();
      // While requests are pending, closing the connection would lose their responses.
      boolean close = !first.keepAlive || closing || listener.closeAfterResponses();
      boolean last = close && exchanges.isEmpty() && reading == null;
      write(pending, last);
      idleSinceNanos = time.nanoTime();
      if (paused && exchanges.size() < MAX_PIPELINED / 2) {
        paused = false;
        socket.resume();
      }
      if (last) {
        closing = true;
        return;
      }
    }
  }

  private void write(HttpResponse response, boolean last) {
    DefaultFullHttpResponse message =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(response.status()),
            Unpooled.wrappedBuffer(response.body()));
    for (int i = 0; i + 1 < response.headers().size(); i += 2) {
      message.headers().add(response.headers().get(i), response.headers().get(i + 1));
    }
    if (response.status() != 204 && response.status() != 304) {
      message.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
    }
    if (last) {
      message.headers().set(HttpHeaderNames.CONNECTION, "close");
    }
    listener.responseStarted();
    socket
        .writeMessage(message)
        .onComplete(
            done -> {
              listener.responseWritten();
              if (last) {
                socket.close();
              }
            });
  }

  /** Closes the connection if a header is not complete in time or the client is idle too long. */
  void checkTimeouts(long nowNanos) {
    if (closed || closing) {
      return;
    }
    if (partialSinceNanos != Long.MIN_VALUE && reading == null) {
      if (nowNanos - partialSinceNanos > limits.headerTimeoutMs() * 1_000_000L) {
        reject(408);
      }
    } else if (exchanges.isEmpty()
        && reading == null
        && nowNanos - idleSinceNanos > limits.idleTimeoutMs() * 1_000_000L) {
      close();
    }
  }

  void close() {
    closing = true;
    socket.close();
  }

  private void onClose() {
    closed = true;
    listener.removeConnection(this);
    body.clear();
    List<HttpExchange> pending = new ArrayList<>(exchanges);
    exchanges.clear();
    pending.forEach(HttpExchange::onConnectionClosed);
  }
}
