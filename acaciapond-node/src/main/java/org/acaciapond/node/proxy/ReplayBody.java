package org.acaciapond.node.proxy;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpVersion;
import org.jspecify.annotations.Nullable;

/**
 * Replayable body of a request, streamed with back-pressure to the outgoing request of each
 * attempt; confined to the event loop of the request.
 *
 * <p>Up to {@link #MAX_BUFFERED_BYTES} are buffered so that a retry can send them again.
 */
final class ReplayBody {

  static final int MAX_BUFFERED_BYTES = 64 * 1024;

  /** Bodies up to this size are sent in one write once they are complete. */
  private static final long SINGLE_WRITE_BYTES = 16 * 1024;

  private final HttpServerRequest source;
  private final long maxBytes;
  private final Runnable onTooLarge;
  private Buffer buffered = Buffer.buffer(0);
  private long totalBytes;
  private boolean overflowed;
  private boolean ended;
  private boolean discarding;
  private @Nullable HttpClientRequest outgoing;
  private @Nullable Runnable readyAction;
  private @Nullable Runnable endAction;

  ReplayBody(HttpServerRequest source, long maxBytes, Runnable onTooLarge) {
    this.source = source;
    this.maxBytes = maxBytes;
    this.onTooLarge = onTooLarge;
    source.handler(this::onData);
    source.endHandler(ignored -> onEnd());
  }

  /** Runs an action once it is known whether there is a body, or a small body is complete. */
  void whenReady(Runnable action) {
    if (isSmall()) {
      endAction = action;
    } else if (hasLength() || isChunked()) {
      action.run();
    } else if (source.version() != HttpVersion.HTTP_2) {
      ended = true;
      action.run();
    } else {
      // In HTTP/2 the end of the stream, in the headers frame, indicates that there is no body.
      readyAction = action;
    }
  }

  private boolean isSmall() {
    String length = source.getHeader("content-length");
    // The digits are counted first; that the length is a number was checked with the limits.
    return length != null && length.length() <= 5 && Long.parseLong(length) <= SINGLE_WRITE_BYTES;
  }

  /** Returns whether the whole body was received. */
  boolean hasEnded() {
    return ended;
  }

  private boolean hasLength() {
    return source.headers().contains("content-length");
  }

  private boolean isChunked() {
    return source.headers().contains("transfer-encoding");
  }

  /** Returns whether the whole body can be sent again. */
  boolean isReplayable() {
    return !overflowed;
  }

  /** Sends the buffered bytes and then the rest; the headers are sent with the first bytes. */
  void sendTo(HttpClientRequest request) {
    if (ended) {
      request.end(buffered);
      return;
    }
    outgoing = request;
    if (!hasLength()) {
      request.setChunked(true);
    }
    request.drainHandler(
        ignored -> {
          if (outgoing == request) {
            source.resume();
          }
        });
    if (buffered.length() > 0) {
      request.write(buffered.copy());
    } else {
      request.sendHead();
    }
    source.resume();
  }

  /** Stops sending to the current request. */
  void detach() {
    outgoing = null;
    if (!ended && !discarding) {
      source.pause();
    }
  }

  /** Reads and drops the rest, so that the connection of the caller can be reused. */
  void discard() {
    outgoing = null;
    discarding = true;
    buffered = Buffer.buffer(0);
    if (!ended) {
      source.resume();
    }
  }

  private void onData(Buffer data) {
    if (discarding) {
      return;
    }
    totalBytes += data.length();
    if (totalBytes > maxBytes) {
      onTooLarge.run();
      return;
    }
    bufferForReplay(data);
    HttpClientRequest current = outgoing;
    if (current != null) {
      current.write(data);
      if (current.writeQueueFull()) {
        source.pause();
      }
    } else if (totalBytes >= MAX_BUFFERED_BYTES) {
      source.pause();
    }
    runReadyAction();
  }

  private void bufferForReplay(Buffer data) {
    if (outgoing != null && totalBytes > MAX_BUFFERED_BYTES) {
      overflowed = true;
      buffered = Buffer.buffer(0);
    }
    if (!overflowed) {
      buffered.appendBuffer(data);
    }
  }

  private void onEnd() {
    if (ended) {
      return;
    }
    ended = true;
    if (outgoing != null) {
      outgoing.end();
      outgoing = null;
    }
    runReadyAction();
    Runnable action = endAction;
    if (action != null) {
      endAction = null;
      action.run();
    }
  }

  private void runReadyAction() {
    Runnable action = readyAction;
    if (action != null) {
      readyAction = null;
      action.run();
    }
  }
}
