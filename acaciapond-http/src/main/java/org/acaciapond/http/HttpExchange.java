package org.acaciapond.http;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** HTTP request and its response; confined to the event loop. */
public final class HttpExchange {

  private final ServerConnection connection;
  private final String method;
  private final String uri;
  private final List<String> headers;
  private final long receivedNanos;
  private static final byte[] EMPTY = {};

  private byte[] body = EMPTY;
  private long heldBytes;
  private @Nullable Runnable closeHandler;
  private @Nullable HttpResponse response;
  final boolean keepAlive;

  HttpExchange(
      ServerConnection connection,
      String method,
      String uri,
      List<String> headers,
      boolean keepAlive,
      long receivedNanos) {
    this.connection = connection;
    this.method = method;
    this.uri = uri;
    this.headers = headers;
    this.keepAlive = keepAlive;
    this.receivedNanos = receivedNanos;
  }

  /** Returns the method. */
  public String method() {
    return method;
  }

  /** Returns the path and query as received. */
  public String uri() {
    return uri;
  }

  /** Returns the alternating names and values of the headers. */
  public List<String> headers() {
    return headers;
  }

  /** Returns the first value of a header, or null. */
  public @Nullable String header(String name) {
    return HttpMessage.header(headers, name);
  }

  /** Returns the complete body; empty after the response. */
  public byte[] body() {
    return body;
  }

  void setBody(byte[] bytes) {
    body = bytes;
  }

  /** Records memory that is held for the request until its response. */
  void hold(long bytes) {
    heldBytes += bytes;
  }

  /** Drops the body, which nobody needs after the response; returns the memory held so far. */
  long releaseHeld() {
    final long held = heldBytes;
    body = EMPTY;
    heldBytes = 0;
    return held;
  }

  /** Returns the monotonic time at which the request header was received. */
  public long receivedNanos() {
    return receivedNanos;
  }

  /** Sets the handler for the case that the client disconnects before the response. */
  public void onClose(Runnable handler) {
    closeHandler = handler;
  }

  /** Responds to the request; responses are sent in the order of the requests. */
  public void respond(HttpResponse value) {
    if (response == null) {
      response = value;
      connection.onResponse(this, value);
    }
  }

  @Nullable HttpResponse response() {
    return response;
  }

  void onConnectionClosed() {
    Runnable handler = closeHandler;
    if (response == null && handler != null) {
      handler.run();
    }
  }
}
