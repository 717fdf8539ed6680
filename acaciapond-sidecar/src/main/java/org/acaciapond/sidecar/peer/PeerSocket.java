package org.acaciapond.sidecar.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.impl.NetSocketInternal;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.http.UnrecoverableErrors;
import org.acaciapond.mesh.peer.PeerCodec;
import org.acaciapond.mesh.peer.PeerException;
import org.acaciapond.mesh.peer.PeerMessage;

/** Connection to another node. A frame is a four-byte length followed by a MessagePack message. */
final class PeerSocket {

  private static final int MAX_FRAME_BYTES = 17 << 20;
  // Bytes that may wait in this process before long bodies pause. Short messages wait behind them.
  private static final int WRITE_QUEUE_BYTES = 32 << 10;
  private static final int LENGTH_BYTES = 4;
  // A copy of a short frame costs less than a composite buffer.
  private static final int COPIED_BYTES = 16 << 10;

  private final NetSocketInternal socket;
  private final TimeSource time;
  private final Consumer<String> onProblem;
  private final PeerCodec codec = new PeerCodec();
  private long lastReceivedNanos;
  private boolean closed;

  PeerSocket(
      NetSocketInternal socket,
      TimeSource time,
      BiConsumer<PeerSocket, PeerMessage> onMessage,
      Consumer<PeerSocket> onClose,
      Consumer<String> onProblem) {
    this.socket = socket;
    this.time = time;
    this.onProblem = onProblem;
    this.lastReceivedNanos = time.nanoTime();
    socket
        .channelHandlerContext()
        .pipeline()
        .addBefore(
            "handler",
            "frames",
            new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
    socket.messageHandler(
        message -> {
          try {
            if (message instanceof ByteBuf frame && !closed) {
              lastReceivedNanos = time.nanoTime();
              byte[] bytes = new byte[frame.readableBytes()];
              frame.readBytes(bytes);
              onMessage.accept(this, codec.decode(bytes));
            }
          } catch (PeerException e) {
            closeAfter(String.valueOf(e.getMessage()));
          } catch (RuntimeException e) {
            // The message may have taken effect in part.
            closeAfter("message cannot be processed: " + e);
          } finally {
            ReferenceCountUtil.release(message);
          }
        });
    socket.setWriteQueueMaxSize(WRITE_QUEUE_BYTES);
    socket.exceptionHandler(
        error -> {
          UnrecoverableErrors.report(error);
          onProblem.accept(String.valueOf(error.getMessage()));
        });
    socket.closeHandler(
        done -> {
          closed = true;
          onClose.accept(this);
        });
  }

  /**
   * Sends a message; returns the number of bytes written, 0 if the connection is closed. A message
   * that cannot be encoded closes it.
   */
  int send(PeerMessage message) {
    if (closed) {
      return 0;
    }
    byte[] bytes;
    try {
      bytes = codec.encode(message);
    } catch (RuntimeException e) {
      // Strings of the message may be in the dictionary of this side only.
      closeAfter("message cannot be encoded: " + e);
      return 0;
    }
    if (bytes.length > COPIED_BYTES) {
      socket.writeMessage(
          Unpooled.wrappedBuffer(Unpooled.copyInt(bytes.length), Unpooled.wrappedBuffer(bytes)));
    } else {
      socket.write(
          Buffer.buffer(LENGTH_BYTES + bytes.length).appendInt(bytes.length).appendBytes(bytes));
    }
    return LENGTH_BYTES + bytes.length;
  }

  /** Returns whether the connection takes more bytes without queueing many in this process. */
  boolean isWritable() {
    return !closed && !socket.writeQueueFull();
  }

  /** Sets the action to run when the connection is writable again. */
  void onWritable(Runnable action) {
    socket.drainHandler(drained -> action.run());
  }

  /** Returns the monotonic time at which the last message was received. */
  long lastReceivedNanos() {
    return lastReceivedNanos;
  }

  boolean isClosed() {
    return closed;
  }

  /**
   * Closes the connection once all bytes are written. Messages that arrive until then are ignored.
   */
  void close() {
    if (!closed) {
      closed = true;
      socket.close();
    }
  }

  private void closeAfter(String problem) {
    onProblem.accept(problem);
    close();
  }
}
