package org.acaciapond.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.net.impl.NetSocketInternal;
import java.time.Duration;
import java.util.List;
import org.acaciapond.common.time.TimeSource;
import org.jspecify.annotations.Nullable;

/**
 * Client side of one connection, with one request at a time. A connection that has received
 * anything but the expected response is never reused. A response is reported at the end of the read
 * that completed it, because bytes that follow it would otherwise be read as a part of the next
 * response.
 */
public final class ClientConnection {

  private static final int MAX_INITIAL_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 65_536;
  private static final int CHUNK_BYTES = 65_536;
  // A late response to an earlier request may precede the expected one.
  private static final int MAX_RESPONSES_PER_REQUEST = 2;

  /** Listener for the result of a request; exactly one method is called unless it is abandoned. */
  public interface Listener {
    /** The complete response has been received. */
    void responseReceived(HttpResponse response);

    /**
     * There will be no complete response; the server may have processed the request.
     *
     * @param badResponse whether an invalid or incomplete response was received
     */
    void requestFailed(boolean badResponse, String message);
  }

  private final NetSocketInternal socket;
  private final TimeSource time;
  private final int maxBodyBytes;
  private final BodyBudget bodyBudget;
  private final Runnable onClosed;
  private final UnexpectedResponse.Listener onUnexpected;
  private final ResponseDecoder decoder =
      new ResponseDecoder(MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, CHUNK_BYTES);
  private @Nullable ClientRequest request;
  // Rest of the request body.
  private @Nullable BodyParts parts;
  private @Nullable Listener listener;
  private io.netty.handler.codec.http.@Nullable HttpResponse head;
  private List<String> headers = List.of();
  // Complete response that is reported at the end of the current read.
  private @Nullable HttpResponse completed;
  private final BodyBuffer body = new BodyBuffer();
  private boolean skippingResponse;
  private boolean reusable = true;
  private boolean closed;
  private boolean requestWritten;
  private long receivedBytes;
  private int receivedStatus;
  // Further bytes are the rest of a response that was given up or has been reported.
  private boolean unexpectedBytesIgnored;
  private boolean responded;
  private long lastUsedNanos;
  private long keepAliveNanos = Long.MAX_VALUE;

  /**
   * Wraps a connected socket that shares its budget with no other connection.
   *
   * @param socket connected socket
   * @param maxBodyBytes maximum length of a response body
   * @param onClosed called once when the connection has closed
   * @param time clock
   */
  public ClientConnection(
      NetSocketInternal socket, int maxBodyBytes, Runnable onClosed, TimeSource time) {
    this(
        socket,
        maxBodyBytes,
        new BodyBudget(maxBodyBytes),
        onClosed,
        UnexpectedResponse.Listener.NONE,
        time);
  }

  /**
   * Wraps a connected socket.
   *
   * @param socket connected socket
   * @param maxBodyBytes maximum length of a response body
   * @param bodyBudget limit of the bytes of all response bodies of several connections
   * @param onClosed called once when the connection has closed
   * @param onUnexpected receives responses that were not asked for
   * @param time clock
   */
  public ClientConnection(
      NetSocketInternal socket,
      int maxBodyBytes,
      BodyBudget bodyBudget,
      Runnable onClosed,
      UnexpectedResponse.Listener onUnexpected,
      TimeSource time) {
    this.socket = socket;
    this.maxBodyBytes = maxBodyBytes;
    this.bodyBudget = bodyBudget;
    this.onClosed = onClosed;
    this.onUnexpected = onUnexpected;
    this.time = time;
    this.lastUsedNanos = time.nanoTime();
    ChannelPipeline pipeline = socket.channelHandlerContext().pipeline();
    pipeline.addBefore("handler", "received-bytes", new ReceivedBytes());
    pipeline.addBefore("handler", "decoder", decoder);
    pipeline.addBefore("handler", "encoder", new HttpRequestEncoder());
    socket.messageHandler(this::onMessage);
    socket.exceptionHandler(error -> onException(error));
    socket.closeHandler(done -> onClose());
  }

  /**
   * Counts the bytes that arrive for one request, also those that the decoder discards. A server in
   * trouble may send bytes without end that are not a response.
   */
  private final class ReceivedBytes extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
      if (message instanceof ByteBuf bytes && !accepts(bytes.readableBytes())) {
        onUnacceptedBytes(bytes);
        bytes.release();
      } else {
        super.channelRead(context, message);
      }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
      super.channelReadComplete(context);
      reportCompleted();
    }

    private boolean accepts(int count) {
      receivedBytes += count;
      return request != null && receivedBytes <= maxReceivedBytes();
    }
  }

  private void onUnacceptedBytes(ByteBuf bytes) {
    if (completed != null) {
      onBytesAfterResponse(bytes);
      return;
    }
    if (request == null) {
      reportUnexpectedBytes(UnexpectedResponse.Kind.IDLE, bytes, time.nanoTime());
    }
    fail(true, "more than " + maxReceivedBytes() + " bytes received");
    close();
  }

  private void onBytesAfterResponse(ByteBuf bytes) {
    if (bytes.isReadable()) {
      reusable = false;
      reportUnexpectedBytes(UnexpectedResponse.Kind.AFTER_RESPONSE, bytes, lastUsedNanos);
    }
  }

  private long maxReceivedBytes() {
    return (long) maxBodyBytes * MAX_RESPONSES_PER_REQUEST + MAX_HEADER_BYTES;
  }

  /** Sends a request; no other request may be in flight. */
  public void send(ClientRequest sent, Listener resultListener) {
    request = sent;
    listener = resultListener;
    requestWritten = false;
    receivedBytes = 0;
    receivedStatus = 0;
    boolean inParts = sent.body().length > BodyParts.PART_BYTES;
    HttpMethod method = HttpMethod.valueOf(sent.method());
    HttpRequest message =
        inParts
            ? new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, sent.uri())
            : new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, method, sent.uri(), Unpooled.wrappedBuffer(sent.body()));
    for (int i = 0; i + 1 < sent.headers().size(); i += 2) {
      message.headers().add(sent.headers().get(i), sent.headers().get(i + 1));
    }
    if (sent.body().length > 0 || !"GET".equals(sent.method())) {
      message.headers().set(HttpHeaderNames.CONTENT_LENGTH, sent.body().length);
    }
    if (inParts) {
      socket.writeMessage(message);
      writeParts(new BodyParts(sent.body()));
    } else {
      writeEnd(message);
    }
  }

  private void writeParts(BodyParts pending) {
    parts = pending;
    while (parts == pending && pending.hasNext()) {
      if (socket.writeQueueFull()) {
        socket.drainHandler(drained -> continueParts(pending));
        return;
      }
      HttpContent part = pending.next();
      if (pending.hasNext()) {
        socket.writeMessage(part);
      } else {
        writeEnd(part);
      }
    }
  }

  private void continueParts(BodyParts pending) {
    if (parts == pending && !closed) {
      writeParts(pending);
    }
  }

  private void writeEnd(HttpObject end) {
    socket
        .writeMessage(end)
        .onComplete(
            done -> {
              requestWritten = done.succeeded();
              if (done.failed()) {
                fail(false, "request could not be written");
                close();
              }
            });
  }

  /** Returns whether another request may be sent, given the longest permitted idle time. */
  public boolean isUsable(long nowNanos, long maxIdleNanos) {
    long idleNanos = nowNanos - lastUsedNanos;
    return reusable
        && !closed
        && request == null
        && completed == null
        && idleNanos < maxIdleNanos
        && idleNanos < keepAliveNanos;
  }

  /** Returns how many bytes were received since the last request was sent. */
  public long receivedBytes() {
    return receivedBytes;
  }

  /** Returns the status of the response to the last request; 0 if none was decoded. */
  public int receivedStatus() {
    return receivedStatus;
  }

  /** Closes the connection; a request in flight fails. */
  public void close() {
    reusable = false;
    if (!closed) {
      socket.close();
    }
  }

  /** Closes the connection without reporting a result for the request in flight. */
  public void abandon() {
    listener = null;
    request = null;
    parts = null;
    unexpectedBytesIgnored = true;
    close();
  }

  private void onMessage(Object message) {
    try {
      if (message instanceof HttpObject object && !closed) {
        onObject(object);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void onObject(HttpObject object) {
    if (completed != null) {
      // Decoded from bytes after the response, which have been reported.
      return;
    }
    DecoderResult decoded = object.decoderResult();
    if (decoded.isFailure()) {
      fail(true, failureMessage(decoded.cause()));
      close();
      return;
    }
    ClientRequest sent = request;
    if (sent == null) {
      // The received bytes belong to no request.
      close();
      return;
    }
    if (object instanceof io.netty.handler.codec.http.HttpResponse response) {
      onHead(sent, response);
    }
    if (object instanceof HttpContent content && head != null) {
      onContent(content);
    }
  }

  private static String failureMessage(Throwable cause) {
    return cause instanceof InvalidResponseException invalid
        ? String.valueOf(invalid.getMessage())
        : "response cannot be decoded";
  }

  private void onHead(ClientRequest sent, io.netty.handler.codec.http.HttpResponse response) {
    ResponseHead received = ResponseHead.of(response);
    if (JoinedHead.matches(response)) {
      fail(true, "head contains the start of another response");
      close();
      return;
    }
    boolean informational = HttpStatus.isInformational(received.status());
    if (!informational && !HttpStatus.isFinal(received.status())) {
      receivedStatus = received.status();
      fail(true, "invalid status " + received.status());
      close();
      return;
    }
    boolean expected = sent.acceptsResponse().test(received.headers());
    if (!informational && !expected && !trySkip(response, received)) {
      return;
    }
    head = response;
    headers = received.headers();
    skippingResponse = informational || !expected;
    if (!skippingResponse) {
      receivedStatus = received.status();
    }
  }

  // Skips a late response to an earlier request; the response to this request may still follow.
  private boolean trySkip(
      io.netty.handler.codec.http.HttpResponse response, ResponseHead received) {
    reusable = false;
    reportUnexpectedHead(UnexpectedResponse.Kind.OTHER_REQUEST, received);
    boolean endKnown = ResponseDecoder.isEndKnown(response);
    if (!endKnown) {
      fail(true, "response to another request has no length");
      close();
    }
    return endKnown;
  }

  private void reportUnexpectedHead(UnexpectedResponse.Kind kind, ResponseHead unexpected) {
    reportUnexpected(kind, unexpected, receivedBytes, time.nanoTime());
  }

  private void reportUnexpectedBytes(
      UnexpectedResponse.Kind kind, ByteBuf bytes, long receivedNanos) {
    if (!unexpectedBytesIgnored && bytes.isReadable()) {
      reportUnexpected(kind, ResponseHead.decode(bytes), bytes.readableBytes(), receivedNanos);
    }
  }

  private void reportUnexpected(
      UnexpectedResponse.Kind kind,
      @Nullable ResponseHead unexpected,
      long bytes,
      long receivedNanos) {
    Duration sinceLastResponse = responded ? Duration.ofNanos(receivedNanos - lastUsedNanos) : null;
    onUnexpected.unexpectedResponse(
        new UnexpectedResponse(kind, unexpected, bytes, sinceLastResponse));
  }

  private void onContent(HttpContent content) {
    if (!skippingResponse) {
      int bytes = content.content().readableBytes();
      int bodyBytes = body.size() + bytes;
      if (bodyBytes > maxBodyBytes || !bodyBudget.tryReserve(bytes, bodyBytes)) {
        fail(true, "response body is longer than permitted");
        close();
        return;
      }
      body.add(content.content());
    }
    if (content instanceof LastHttpContent) {
      onEnd();
    }
  }

  private void onEnd() {
    io.netty.handler.codec.http.HttpResponse ended = head;
    head = null;
    if (skippingResponse || ended == null) {
      skippingResponse = false;
      return;
    }
    readConnectionHeaders(ended, ResponseDecoder.isEndKnown(ended));
    bodyBudget.release(body.size());
    completed = new HttpResponse(ended.status().code(), headers, body.take());
    request = null;
    parts = null;
    lastUsedNanos = time.nanoTime();
    responded = true;
    onBytesAfterResponse(decoder.undecodedBytes());
  }

  private void reportCompleted() {
    HttpResponse response = completed;
    if (response == null) {
      return;
    }
    completed = null;
    final Listener resultListener = listener;
    listener = null;
    if (!reusable) {
      close();
    }
    if (resultListener != null) {
      resultListener.responseReceived(response);
    }
  }

  private void readConnectionHeaders(
      io.netty.handler.codec.http.HttpResponse ended, boolean endKnown) {
    if (!endKnown || !requestWritten) {
      // Bytes of the response, or of the request body, are still on their way.
      reusable = false;
    }
    if (!HttpUtil.isKeepAlive(ended)) {
      reusable = false;
    }
    String keepAlive = ended.headers().get("Keep-Alive");
    if (keepAlive != null) {
      keepAliveNanos = keepAliveNanos(keepAlive);
    }
  }

  // Uses half of the announced time, so that no request races with the close by the server.
  private static long keepAliveNanos(String header) {
    for (String part : header.split(",")) {
      String[] pair = part.trim().split("=");
      if (pair.length == 2 && pair[0].trim().equalsIgnoreCase("timeout")) {
        try {
          return Long.parseLong(pair[1].trim()) * 500_000_000L;
        } catch (NumberFormatException e) {
          return 0;
        }
      }
    }
    return Long.MAX_VALUE;
  }

  private void fail(boolean badResponse, String message) {
    reusable = false;
    unexpectedBytesIgnored = true;
    if (completed != null) {
      return;
    }
    final Listener resultListener = listener;
    listener = null;
    request = null;
    bodyBudget.release(body.size());
    body.clear();
    if (resultListener != null) {
      resultListener.requestFailed(badResponse, message);
    }
  }

  private void onException(Throwable error) {
    UnrecoverableErrors.report(error);
    reusable = false;
  }

  private void onClose() {
    closed = true;
    reportCompleted();
    onClosed.run();
    boolean incomplete = head != null && !skippingResponse;
    fail(incomplete, incomplete ? "response is incomplete" : "connection closed without an answer");
  }
}
