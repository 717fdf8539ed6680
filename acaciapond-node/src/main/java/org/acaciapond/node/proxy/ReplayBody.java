package org.acaciapond.node.proxy;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpVersion;
import org.jspecify.annotations.Nullable;

/**
 * Body of a request, streamed with back-pressure to one outgoing request after another; confined to
 * the event loop of the request.
 *
 * <p>Up to {@link #LIMIT_BYTES} are kept so that a retry can send them again.
 */
final class ReplayBody {

  static final int LIMIT_BYTES = 64 * 1024;

  /** Bodies up to this size are sent in one piece once they are whole, to save writes. */
  private static final long ONE_PIECE_BYTES = 16 * 1024;

  private final HttpServerRequest source;
  private final long maxBytes;
  private final Runnable onTooLarge;
  private Buffer kept = Buffer.buffer(0);
  private long totalBytes;
  private boolean overflowed;
  private boolean ended;
  private boolean discarding;
  private @Nullable HttpClientRequest outgoing;
  private @Nullable Runnable whenKnown;
  private @Nullable Runnable whenEnded;

  ReplayBody(HttpServerRequest source, long maxBytes, Runnable onTooLarge) {
    this.source = source;
    this.maxBytes = maxBytes;
    this.onTooLarge = onTooLarge;
    source.handler(this::onData);
    source.endHandler(ignored -> onEnd());
  }

  /** Runs an action as soon as it is known whether there is a body. */
  void whenKnown(Runnable action) {
    if (isSmall()) {
      whenEnded = action;
    } else if (hasLength() || isChunked()) {
      action.run();
    } else if (source.version() != HttpVersion.HTTP_2) {
      ended = true;
      action.run();
    } else {
      // HTTP/2 states the absence of a body by the end of the stream, in the same frame.
      whenKnown = action;
    }
  }

  private boolean isSmall() {
    String length = source.getHeader("content-length");
    // The number of digits is checked first; the length itself was checked with the limits.
    return length != null && length.length() <= 5 && Long.parseLong(length) <= ONE_PIECE_BYTES;
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

  /** Sends what is kept and then the rest; the head of the request goes with the first bytes. */
  void sendTo(HttpClientRequest request) {
    if (ended) {
      request.end(kept);
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
    if (kept.length() > 0) {
      request.write(kept.copy());
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

  /** Reads and drops the rest, so that the connection of the caller can be used again. */
  void discard() {
    outgoing = null;
    discarding = true;
    kept = Buffer.buffer(0);
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
    keep(data);
    HttpClientRequest current = outgoing;
    if (current != null) {
      current.write(data);
      if (current.writeQueueFull()) {
        source.pause();
      }
    } else if (totalBytes >= LIMIT_BYTES) {
      source.pause();
    }
    runWhenKnown();
  }

  private void keep(Buffer data) {
    if (outgoing != null && totalBytes > LIMIT_BYTES) {
      overflowed = true;
      kept = Buffer.buffer(0);
    }
    if (!overflowed) {
      kept.appendBuffer(data);
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
    runWhenKnown();
    Runnable action = whenEnded;
    if (action != null) {
      whenEnded = null;
      action.run();
    }
  }

  private void runWhenKnown() {
    Runnable action = whenKnown;
    if (action != null) {
      whenKnown = null;
      action.run();
    }
  }
}
