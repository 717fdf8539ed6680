package org.acaciapond.http;

import io.netty.buffer.ByteBuf;
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
import io.netty.handler.codec.http.DefaultHttpResponse;
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
  private static final int WRITE_QUEUE_BYTES = 64 << 10;
  // Time in which a client that is still sending can read its response before the connection is
  // reset.
  private static final int LINGER_MS = 500;
  // A header of a few bytes takes two strings and an entry.
  private static final int HEAP_BYTES_PER_HEAD_BYTE = 32;
  private static final List<String> RETRY_LATER = List.of("Retry-After", "1");

  private final HttpListener listener;
  private final NetSocketInternal socket;
  private final TimeSource time;
  private final Deque<HttpExchange> exchanges = new ArrayDeque<>();
  private final ServerLimits limits;
  private final Context context;
  private @Nullable HttpExchange reading;
  private final RequestBody body;
  private final Transfer head = new Transfer(() -> this.heldForHead, this::onHeadStalled);
  private long partialHeadBytes;
  private long heldForHead;
  private final Transfer sending = new Transfer(() -> this.unsentBytes, this::onReaderStalled);
  private long partialSinceNanos = Long.MIN_VALUE;
  private long idleSinceNanos;
  private long lastReceivedNanos;
  private long lastSentNanos;
  // Bytes of responses that are held until they are written.
  private long unsentBytes;
  private @Nullable BodyParts parts;
  private int partsBodyBytes;
  private boolean partsEndConnection;
  private boolean sendingBlocked;
  private boolean continueExpected;
  private boolean discarding;
  private boolean lingers;
  private boolean closing;
  private boolean closed;
  private boolean pausedByRequests;
  private boolean pausedByMemory;

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
    this.lastReceivedNanos = idleSinceNanos;
    this.lastSentNanos = idleSinceNanos;
    this.body = new RequestBody(listener.memory(), listener.uploads(), new BodyOwner());
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
    socket.setWriteQueueMaxSize(WRITE_QUEUE_BYTES);
    socket.messageHandler(this::onMessage);
    socket.exceptionHandler(error -> listener.connectionFailed(error));
    socket.closeHandler(done -> onClose());
  }

  String clientHost() {
    return socket.remoteAddress().host();
  }

  /**
   * Records when the first bytes of an incomplete request were received, and discards those behind
   * a rejected one.
   */
  private final class FirstBytes extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
      if (discarding) {
        ReferenceCountUtil.release(message);
        return;
      }
      lastReceivedNanos = time.nanoTime();
      if (partialSinceNanos == Long.MIN_VALUE) {
        partialSinceNanos = lastReceivedNanos;
      }
      if (reading == null && message instanceof ByteBuf bytes) {
        partialHeadBytes += bytes.readableBytes();
      }
      super.channelRead(context, message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
      super.channelReadComplete(context);
      if (reading == null && partialSinceNanos != Long.MIN_VALUE && !closing) {
        holdPartialHead();
      }
    }
  }

  // The decoder has made strings of the lines of the head that are complete.
  private void holdPartialHead() {
    MemoryAccount memory = listener.memory();
    long bytes = Math.min(partialHeadBytes, limits.maxHeaderBytes()) * HEAP_BYTES_PER_HEAD_BYTE;
    long missing = bytes - heldForHead;
    head.moved(Math.max(0, missing));
    if (missing <= 0) {
      return;
    }
    boolean available = memory.reserveOrEvict(missing);
    if (closing) {
      // This connection was ended to make room.
      memory.release(available ? missing : 0);
      return;
    }
    if (!available) {
      refuseForMemory();
      return;
    }
    if (heldForHead == 0) {
      memory.register(head);
    }
    heldForHead += missing;
  }

  private void releasePartialHead() {
    partialHeadBytes = 0;
    if (heldForHead > 0) {
      final long released = heldForHead;
      heldForHead = 0;
      listener.memory().unregister(head);
      head.restart();
      listener.memory().release(released);
    }
  }

  private void onHeadStalled() {
    listener.limited(HttpListener.Limit.HEAD_STALLED);
    reject(408, List.of());
  }

  private void refuseForMemory() {
    listener.limited(HttpListener.Limit.UPLOAD_REFUSED);
    reject(503, RETRY_LATER);
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
      reject(result.cause() instanceof TooLongFrameException ? 431 : 400, List.of());
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
      reject(400, List.of());
      return;
    }
    HttpExchange exchange =
        new HttpExchange(
            this,
            request.method().name(),
            request.uri(),
            HttpMessage.toList(request.headers()),
            HttpUtil.isKeepAlive(request),
            time.nanoTime());
    reading = exchange;
    releasePartialHead();
    if (!holdHead(exchange)) {
      return;
    }
    continueExpected = HttpUtil.is100ContinueExpected(request);
    boolean chunked = HttpUtil.isTransferEncodingChunked(request);
    long announcedBytes = chunked ? 0 : HttpUtil.getContentLength(request, 0L);
    if (announcedBytes > limits.maxBodyBytes()) {
      reject(413, List.of());
    } else if (chunked || announcedBytes > 0) {
      body.start((int) announcedBytes, lastReceivedNanos);
    }
    if (!body.isWaiting()) {
      sendContinue();
    }
  }

  // Returns false if the request was rejected, or its connection was ended to make room.
  private boolean holdHead(HttpExchange exchange) {
    MemoryAccount memory = listener.memory();
    long bytes = HttpMessage.heapBytes(exchange.headers());
    boolean available = memory.reserveOrdinary(bytes);
    if (closing) {
      memory.release(available ? bytes : 0);
      return false;
    }
    if (!available) {
      refuseForMemory();
      return false;
    }
    exchange.hold(bytes);
    return true;
  }

  private void sendContinue() {
    if (continueExpected && reading != null) {
      continueExpected = false;
      socket.writeMessage(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void onContent(HttpExchange exchange, HttpContent content) {
    if (body.size() + content.content().readableBytes() > limits.maxBodyBytes()) {
      reject(413, List.of());
      return;
    }
    if (content.content().isReadable()) {
      body.add(content.content(), lastReceivedNanos);
    }
    // Without memory for its body, the request has been rejected.
    if (content instanceof LastHttpContent && reading != null) {
      onComplete(exchange);
    }
  }

  private void onComplete(HttpExchange exchange) {
    body.moveTo(exchange);
    reading = null;
    partialSinceNanos = Long.MIN_VALUE;
    partialHeadBytes = 0;
    exchanges.add(exchange);
    if (pausedByMemory) {
      pausedByMemory = false;
      resumeIfPermitted();
    }
    if (exchanges.size() >= MAX_PIPELINED) {
      pausedByRequests = true;
      pause();
    }
    handleAfterRead(exchange);
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

  /** Reactions of the connection to the memory that is available for its body. */
  private final class BodyOwner implements RequestBody.Owner {
    @Override
    public void pauseReading() {
      pausedByMemory = true;
      pause();
    }

    @Override
    public void resumeReading() {
      pausedByMemory = false;
      lastReceivedNanos = time.nanoTime();
      sendContinue();
      resumeIfPermitted();
    }

    @Override
    public void refuseBody() {
      refuseForMemory();
    }

    @Override
    public void endStalledBody() {
      listener.limited(HttpListener.Limit.UPLOAD_STALLED);
      reject(408, List.of());
    }
  }

  // Vert.x pauses only sockets without a message handler.
  private void pause() {
    socket.channelHandlerContext().channel().config().setAutoRead(false);
  }

  private void resumeIfPermitted() {
    if (!pausedByMemory && !pausedByRequests) {
      socket.channelHandlerContext().channel().config().setAutoRead(true);
    }
  }

  // Responds to an invalid request after the requests before it, then closes the connection.
  private void reject(int status, List<String> headers) {
    closing = true;
    discarding = true;
    lingers = reading != null;
    dropReading();
    pausedByMemory = false;
    resumeIfPermitted();
    HttpExchange exchange = new HttpExchange(this, "", "", List.of(), false, time.nanoTime());
    exchanges.add(exchange);
    listener.requestRejected(status, clientHost());
    exchange.respond(HttpResponse.empty(status, headers));
  }

  private void dropReading() {
    final HttpExchange dropped = reading;
    reading = null;
    body.clear();
    releasePartialHead();
    if (dropped != null) {
      listener.memory().release(dropped.releaseHeld());
    }
  }

  /** Takes the response to a request, which no longer needs its body. */
  void onResponse(HttpExchange exchange, HttpResponse response) {
    listener.memory().release(exchange.releaseHeld());
    if (closed) {
      return;
    }
    hold(response.body().length);
    flushResponses();
  }

  private void hold(int bytes) {
    MemoryAccount memory = listener.memory();
    boolean available =
        bytes > MemoryAccount.ORDINARY_BYTES
            ? memory.reserveOrEvict(bytes)
            : memory.reserveOrdinary(bytes);
    if (!available) {
      memory.add(bytes);
    }
    if (closed) {
      // This connection was the one to be closed.
      memory.release(bytes);
    } else {
      unsentBytes += bytes;
    }
  }

  private void releaseSent(int bytes) {
    long released = Math.min(bytes, unsentBytes);
    unsentBytes -= released;
    listener.memory().release(released);
  }

  private void flushResponses() {
    while (!closed) {
      if (socket.writeQueueFull()) {
        awaitDrain();
        return;
      }
      if (parts != null) {
        writePart(parts);
      } else if (!writeNextResponse()) {
        break;
      }
    }
    if (sendingBlocked) {
      sendingBlocked = false;
      listener.memory().unregister(sending);
      sending.restart();
    }
  }

  private void awaitDrain() {
    if (!sendingBlocked) {
      sendingBlocked = true;
      lastSentNanos = time.nanoTime();
      listener.memory().register(sending);
    }
    socket.drainHandler(
        drained -> {
          lastSentNanos = time.nanoTime();
          flushResponses();
        });
  }

  // Returns false if there is none, or none may follow.
  private boolean writeNextResponse() {
    HttpExchange first = exchanges.peek();
    HttpResponse pending = first == null ? null : first.response();
    if (first == null || pending == null) {
      return false;
    }
    exchanges.remove();
    // While requests are pending, closing the connection would lose their responses.
    boolean close = !first.keepAlive || closing || listener.closeAfterResponses();
    boolean last = close && exchanges.isEmpty() && reading == null;
    write(pending, last);
    idleSinceNanos = time.nanoTime();
    if (pausedByRequests && exchanges.size() < MAX_PIPELINED / 2) {
      pausedByRequests = false;
      resumeIfPermitted();
    }
    if (last) {
      closing = true;
    }
    return true;
  }

  private void write(HttpResponse response, boolean last) {
    HttpVersion version = HttpVersion.HTTP_1_1;
    HttpResponseStatus status = HttpResponseStatus.valueOf(response.status());
    byte[] bytes = response.body();
    boolean inParts = bytes.length > BodyParts.PART_BYTES;
    io.netty.handler.codec.http.HttpResponse message =
        inParts
            ? new DefaultHttpResponse(version, status)
            : new DefaultFullHttpResponse(version, status, Unpooled.wrappedBuffer(bytes));
    for (int i = 0; i + 1 < response.headers().size(); i += 2) {
      message.headers().add(response.headers().get(i), response.headers().get(i + 1));
    }
    if (response.status() != 204 && response.status() != 304) {
      message.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
    }
    if (last) {
      message.headers().set(HttpHeaderNames.CONNECTION, "close");
    }
    listener.responseStarted();
    if (inParts) {
      parts = new BodyParts(bytes);
      partsBodyBytes = bytes.length;
      partsEndConnection = last;
      socket.writeMessage(message);
    } else {
      writeEnd(message, bytes.length, last);
    }
  }

  private void writePart(BodyParts pending) {
    HttpContent part = pending.next();
    sending.moved(part.content().readableBytes());
    if (pending.hasNext()) {
      socket.writeMessage(part);
    } else {
      parts = null;
      writeEnd(part, partsBodyBytes, partsEndConnection);
    }
  }

  private void writeEnd(HttpObject end, int bodyBytes, boolean last) {
    socket
        .writeMessage(end)
        .onComplete(
            done -> {
              listener.responseWritten();
              releaseSent(bodyBytes);
              if (last) {
                closeAfterResponse();
              }
            });
  }

  private void closeAfterResponse() {
    if (lingers) {
      context.owner().setTimer(LINGER_MS, id -> socket.close());
    } else {
      socket.close();
    }
  }

  private void onReaderStalled() {
    listener.limited(HttpListener.Limit.READER_STALLED);
    closeNow();
  }

  /** Closes the connection if the client is idle, or takes part in a request, for too long. */
  void checkTimeouts(long nowNanos) {
    if (closed) {
      return;
    }
    long idleNanos = limits.idleTimeoutMs() * 1_000_000L;
    if (sendingBlocked) {
      if (nowNanos - lastSentNanos > idleNanos) {
        onReaderStalled();
      }
    } else if (closing) {
      return;
    } else if (reading != null) {
      if (!pausedByMemory && !pausedByRequests && nowNanos - lastReceivedNanos > idleNanos) {
        listener.limited(HttpListener.Limit.UPLOAD_STALLED);
        reject(408, List.of());
      }
    } else if (partialSinceNanos != Long.MIN_VALUE) {
      if (nowNanos - partialSinceNanos > limits.headerTimeoutMs() * 1_000_000L) {
        reject(408, List.of());
      }
    } else if (exchanges.isEmpty() && nowNanos - idleSinceNanos > idleNanos) {
      close();
    }
  }

  /** Returns whether a request was received completely and not answered yet. */
  boolean hasCompleteRequest() {
    return !exchanges.isEmpty() || parts != null;
  }

  long lastReceivedNanos() {
    return lastReceivedNanos;
  }

  void close() {
    closing = true;
    socket.close();
  }

  /** Closes the connection without waiting for the client to read what was written. */
  void closeNow() {
    closing = true;
    end();
    socket.channelHandlerContext().channel().close();
  }

  private void onClose() {
    end();
    List<HttpExchange> pending = new ArrayList<>(exchanges);
    exchanges.clear();
    pending.forEach(this::onClientLeft);
  }

  private void onClientLeft(HttpExchange exchange) {
    exchange.onConnectionClosed();
    listener.memory().release(exchange.releaseHeld());
  }

  // Releases everything that does not belong to a complete request.
  private void end() {
    if (closed) {
      return;
    }
    closed = true;
    listener.removeConnection(this);
    dropReading();
    listener.memory().unregister(sending);
    if (parts != null) {
      parts = null;
      listener.responseWritten();
    }
    long released = unsentBytes;
    unsentBytes = 0;
    listener.memory().release(released);
  }
}
