package org.acaciapond.protocol.transport;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.util.function.Consumer;
import org.acaciapond.protocol.codec.CodecRegistry;
import org.acaciapond.protocol.codec.ProtocolException;
import org.acaciapond.protocol.message.Message;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/** Connection over a TCP socket; each frame is a four-byte length and a payload. */
final class SocketPeerConnection implements PeerConnection {

  private static final Logger LOG = LogManager.getLogger(SocketPeerConnection.class);
  private static final int LENGTH_BYTES = 4;
  private static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

  private final NetSocket socket;
  private final CodecRegistry codecs;
  private final TransportCounters counters;
  private final RecordParser parser = RecordParser.newFixed(LENGTH_BYTES);
  private boolean readingLength = true;
  private volatile Consumer<Message> receiver = message -> {};
  private volatile @Nullable Runnable closeCallback;

  SocketPeerConnection(NetSocket socket, CodecRegistry codecs, TransportCounters counters) {
    this.socket = socket;
    this.codecs = codecs;
    this.counters = counters;
    parser.handler(this::onRecord);
    socket.handler(
        buffer -> {
          counters.addReceivedBytes(buffer.length());
          parser.handle(buffer);
        });
    socket.exceptionHandler(error -> socket.close());
    socket.closeHandler(
        ignored -> {
          Runnable callback = closeCallback;
          if (callback != null) {
            callback.run();
          }
        });
  }

  private void onRecord(Buffer record) {
    if (readingLength) {
      int length = record.getInt(0);
      if (length <= 0 || length > MAX_FRAME_BYTES) {
        reject("frame of " + length + " bytes");
        return;
      }
      readingLength = false;
      parser.fixedSizeMode(length);
      return;
    }
    readingLength = true;
    parser.fixedSizeMode(LENGTH_BYTES);
    try {
      receiver.accept(codecs.decode(record.getBytes()));
    } catch (ProtocolException e) {
      reject(e.getMessage());
    }
  }

  private void reject(@Nullable String reason) {
    counters.addMalformedFrame();
    LOG.warn("Closing connection to {}: {}", remote(), reason);
    socket.close();
  }

  @Override
  public String remote() {
    return String.valueOf(socket.remoteAddress());
  }

  @Override
  public void send(Message message) {
    byte[] payload = codecs.encode(message);
    counters.addSentBytes(LENGTH_BYTES + payload.length);
    socket.write(
        Buffer.buffer(LENGTH_BYTES + payload.length)
            .appendInt(payload.length)
            .appendBytes(payload));
  }

  @Override
  public void onMessage(Consumer<Message> receiver) {
    this.receiver = receiver;
  }

  @Override
  public void onClose(Runnable callback) {
    this.closeCallback = callback;
  }

  @Override
  public void close() {
    socket.close();
  }
}
