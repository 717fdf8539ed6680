package org.acaciapond.http;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Response, or other bytes, that a client connection received without having asked for them.
 *
 * @param kind when the bytes were received
 * @param head status and headers; null if they could not be decoded
 * @param receivedBytes for a request in flight, the bytes received since it was sent; otherwise the
 *     number of unexpected bytes
 * @param sinceLastResponse time since the last expected response on the connection was complete;
 *     null if there was none
 */
public record UnexpectedResponse(
    Kind kind,
    @Nullable ResponseHead head,
    long receivedBytes,
    @Nullable Duration sinceLastResponse) {

  /** When unexpected bytes were received. */
  public enum Kind {
    /** A response that does not belong to the request in flight and is skipped. */
    OTHER_REQUEST,
    /** Bytes that follow a complete response in the same read. */
    AFTER_RESPONSE,
    /** Bytes on a connection without a request in flight. */
    IDLE
  }

  /** Listener for unexpected responses; it must not use the connection. */
  @FunctionalInterface
  public interface Listener {
    /** Listener that ignores unexpected responses. */
    Listener NONE = response -> {};

    /** An unexpected response has been received. */
    void unexpectedResponse(UnexpectedResponse response);
  }
}
