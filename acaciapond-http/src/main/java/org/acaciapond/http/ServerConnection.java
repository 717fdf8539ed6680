package org.acaciapond.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
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
import io.vertx.core.net.impl.NetSocketInternal;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import org.acaciapond.common.time.TimeSource;
import org.jspecify.annotations.Nullable;

/**
 * Server side of one connection. Requests that were sent behind another are handled at once and
 * answered in order. The socket is always read, so a client that leaves is noticed while its
 * requests wait.
 */
final class ServerConnection {

  private static final int MAX_INITIAL_LINE_BYTES = 16_384;
  private static final int CHUNK_BYTES = 65_536;
  // Bounds what one client can keep waiting; reading goes on when answers have left.
  private static final int MAX_PIPELINED = 64;

  private final HttpListener listener;
  private final NetSocketInternal socket;
  private final TimeSource time;
  private final Deque<HttpExchange> exchanges = new ArrayDeque<>();
  private final ServerLimits limits;
  private @Nullable HttpExchange reading;
  private final BodyBuffer body = new BodyBuffer();
  private long partialSinceNanos = Long.MIN_VALUE;
  private long idleSinceNanos;
  private boolean closing;
  private boolean closed;
  private boolean paused;

  ServerConnection(
      HttpListener listener, NetSocketInternal socket, ServerLimits limits, TimeSource time) {
    this.listener = listener;
    this.socket = socket;
    this.limits = limits;
    this.time = time;
    this.idleSinceNanos = time.nanoTime();
  }

  void start() {
    ChannelPipeline pipeline = socket.channelHandlerContext().pipeline();
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

  /** Notes when bytes of an unfinished request began to arrive. */
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
    List<String> headers = new ArrayList<>();
    for (Map.Entry<String, String> header : request.headers()) {
      headers.add(header.getKey());
      headers.add(header.getValue());
    }
    reading =
        new HttpExchange(
            this,
            request.method().name(),
            request.uri(),
            headers,
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
      exchange.body(body.take());
      reading = null;
      partialSinceNanos = Long.MIN_VALUE;
      exchanges.add(exchange);
      if (exchanges.size() >= MAX_PIPELINED && !paused) {
        paused = true;
        socket.pause();
      }
      listener.handle(exchange);
    }
  }

  // Answers a request that cannot be taken, after those before it, and closes the connection.
  private void reject(int status) {
    closing = true;
    body.take();
    HttpExchange exchange = new HttpExchange(this, "", "", List.of(), false, time.nanoTime());
    reading = null;
    exchanges.add(exchange);
    listener.rejected(status, clientHost());
    exchange.answer(HttpResponse.empty(status, List.of()));
  }

  void flushAnswers() {
    while (!closed) {
      HttpExchange first = exchanges.peek();
      HttpResponse answer = first == null ? null : first.answer();
      if (first == null || answer == null) {
        return;
      }
      exchanges.remove();
      // A close behind which requests wait would leave them unanswered.
      boolean close = !first.keepAlive || closing || listener.closesConnections();
      boolean last = close && exchanges.isEmpty() && reading == null;
      write(answer, last);
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

  private void write(HttpResponse answer, boolean last) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(answer.status()),
            Unpooled.wrappedBuffer(answer.body()));
    for (int i = 0; i + 1 < answer.headers().size(); i += 2) {
      response.headers().add(answer.headers().get(i), answer.headers().get(i + 1));
    }
    if (answer.status() != 204 && answer.status() != 304) {
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
    }
    if (last) {
      response.headers().set(HttpHeaderNames.CONNECTION, "close");
    }
    var written = socket.writeMessage(response);
    if (last) {
      written.onComplete(done -> socket.close());
    }
  }

  /** Closes the connection if a client takes too long for a header or stays idle. */
  void checkTimes(long nowNanos) {
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
    listener.removed(this);
    body.take();
    List<HttpExchange> left = new ArrayList<>(exchanges);
    exchanges.clear();
    left.forEach(HttpExchange::closed);
  }
}
