package org.acaciapond.protocol.transport;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.acaciapond.protocol.codec.CodecRegistry;
import org.acaciapond.protocol.codec.ProtocolErrorCode;
import org.acaciapond.protocol.codec.ProtocolException;
import org.acaciapond.protocol.message.LivenessMessage;
import org.acaciapond.protocol.message.Message;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Connection over a TCP socket.
 *
 * <p>A frame is a four-byte length and a payload, whose first byte is the message type. The type is
 * read together with the length, so that a frame over the limit of its type is rejected before its
 * payload is buffered.
 */
final class SocketPeerConnection implements PeerConnection {

  private static final Logger LOG = LogManager.getLogger(SocketPeerConnection.class);
  private static final int LENGTH_BYTES = 4;
  private static final int HEADER_BYTES = LENGTH_BYTES + 1;

  private final Vertx vertx;
  private final NetSocket socket;
  private final CodecRegistry codecs;
  private final TransportCounters counters;
  private final TransportOptions options;
  private final RecordParser parser = RecordParser.newFixed(HEADER_BYTES);
  private final AtomicInteger pendingBytes = new AtomicInteger();
  private final long livenessTimerId;
  private byte frameType;
  private boolean readingHeader = true;
  private volatile boolean closed;
  private volatile long lastMessageNanos = System.nanoTime();
  private long awaitingSinceNanos;
  private boolean awaitingResponse;
  private volatile Consumer<Message> messageHandler = message -> {};
  private final List<Runnable> closeCallbacks = new ArrayList<>();
  private boolean closeNotified;

  SocketPeerConnection(
      Vertx vertx,
      NetSocket socket,
      CodecRegistry codecs,
      TransportCounters counters,
      TransportOptions options) {
    this.vertx = vertx;
    this.socket = socket;
    this.codecs = codecs;
    this.counters = counters;
    this.options = options;
    parser.handler(this::onRecord);
    socket.handler(
        buffer -> {
          counters.addReceivedBytes(buffer.length());
          parser.handle(buffer);
        });
    socket.exceptionHandler(error -> socket.close());
    socket.closeHandler(ignored -> onClosed());
    livenessTimerId = vertx.setPeriodic(options.checkIntervalMs(), id -> checkLiveness());
  }

  private void onClosed() {
    closed = true;
    vertx.cancelTimer(livenessTimerId);
    List<Runnable> callbacks;
    synchronized (closeCallbacks) {
      closeNotified = true;
      callbacks = List.copyOf(closeCallbacks);
      closeCallbacks.clear();
    }
    callbacks.forEach(Runnable::run);
  }

  private void onRecord(Buffer record) {
    if (closed) {
      return;
    }
    if (readingHeader) {
      onHeader(record);
    } else {
      readingHeader = true;
      parser.fixedSizeMode(HEADER_BYTES);
      onPayload(Buffer.buffer(1 + record.length()).appendByte(frameType).appendBuffer(record));
    }
  }

  private void onHeader(Buffer header) {
    int length = header.getInt(0);
    frameType = header.getByte(LENGTH_BYTES);
    int limit = codecs.maxBytes(frameType);
    if (limit == 0) {
      reject(ProtocolErrorCode.UNKNOWN_MESSAGE, "no codec for message type " + frameType);
    } else if (length <= 0 || length > limit) {
      reject(
          ProtocolErrorCode.FRAME_TOO_LONG,
          length + " bytes in a frame of message type " + frameType);
    } else if (length == 1) {
      onPayload(Buffer.buffer(new byte[] {frameType}));
    } else {
      readingHeader = false;
      parser.fixedSizeMode(length - 1);
    }
  }

  private void onPayload(Buffer payload) {
    Message message;
    try {
      message = codecs.decode(payload.getBytes());
    } catch (ProtocolException e) {
      reject((ProtocolErrorCode) e.code(), e.getMessage());
      return;
    }
    if (message instanceof LivenessMessage liveness) {
      onLiveness(liveness);
    } else {
      lastMessageNanos = System.nanoTime();
      messageHandler.accept(message);
    }
  }

  private void reject(ProtocolErrorCode code, @Nullable String reason) {
    counters.addMalformedFrame();
    closeWithError(code, reason);
  }

  private void closeWithError(ProtocolErrorCode code, @Nullable String reason) {
    closed = true;
    LOG.warn("Closing connection to {}: {}: {}", remote(), code, reason);
    socket.close();
  }

  private void onLiveness(LivenessMessage message) {
    if (message.response()) {
      awaitingResponse = false;
    } else {
      write(new LivenessMessage(true));
    }
  }

  private void checkLiveness() {
    long nowNanos = System.nanoTime();
    if (closed) {
      vertx.cancelTimer(livenessTimerId);
    } else if (awaitingResponse && hasElapsed(awaitingSinceNanos, options.responseTimeoutMs())) {
      counters.addSilentConnection();
      closeWithError(ProtocolErrorCode.PEER_SILENT, "no answer to a liveness check");
    } else if (hasElapsed(lastMessageNanos, options.idleTimeoutMs())) {
      counters.addIdleConnection();
      socket.close();
    } else {
      if (!awaitingResponse) {
        awaitingResponse = true;
        awaitingSinceNanos = nowNanos;
      }
      write(new LivenessMessage(false));
    }
  }

  private static boolean hasElapsed(long sinceNanos, long limitMs) {
    // A timer may fire slightly early; without the slack of 1/16, a timeout would then be noticed
    // only one check interval later.
    return System.nanoTime() - sinceNanos >= TimeUnit.MILLISECONDS.toNanos(limitMs) * 15 / 16;
  }

  @Override
  public String remote() {
    return String.valueOf(socket.remoteAddress());
  }

  @Override
  public void send(Message message) {
    lastMessageNanos = System.nanoTime();
    write(message);
  }

  private void write(Message message) {
    if (closed) {
      return;
    }
    byte[] payload = codecs.encode(message);
    int bytes = LENGTH_BYTES + payload.length;
    if (pendingBytes.addAndGet(bytes) > options.maxPendingBytes()) {
      counters.addSlowPeer();
      closeWithError(ProtocolErrorCode.PEER_SLOW, pendingBytes.get() + " bytes are pending");
      return;
    }
    counters.addSentBytes(MessageFamily.of(message), bytes);
    socket
        .write(Buffer.buffer(bytes).appendInt(payload.length).appendBytes(payload))
        .onComplete(written -> pendingBytes.addAndGet(-bytes));
  }

  @Override
  public void onMessage(Consumer<Message> messageHandler) {
    this.messageHandler = messageHandler;
  }

  @Override
  public void onClose(Runnable callback) {
    synchronized (closeCallbacks) {
      if (!closeNotified) {
        closeCallbacks.add(callback);
        return;
      }
    }
    callback.run();
  }

  @Override
  public void close() {
    socket.close();
  }
}
