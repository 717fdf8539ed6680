package org.acaciapond.http;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** One request and its answer; used on the event loop only. */
public final class HttpExchange {

  private final ServerConnection connection;
  private final String method;
  private final String uri;
  private final List<String> headers;
  private final long receivedNanos;
  private byte[] body = new byte[0];
  private @Nullable Runnable closeHandler;
  private @Nullable HttpResponse answer;
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

  /** Returns path and query as they were sent. */
  public String uri() {
    return uri;
  }

  /** Returns names and values of the headers in turn. */
  public List<String> headers() {
    return headers;
  }

  /** Returns the first value of a header, or null. */
  public @Nullable String header(String name) {
    return HttpMessage.header(headers, name);
  }

  /** Returns the whole body. */
  public byte[] body() {
    return body;
  }

  void body(byte[] bytes) {
    body = bytes;
  }

  /** Returns the monotonic time at which the head of the request was read. */
  public long receivedNanos() {
    return receivedNanos;
  }

  /** Sets what happens when the client leaves before the answer. */
  public void onClose(Runnable handler) {
    closeHandler = handler;
  }

  /** Answers the request; answers leave in the order of their requests. */
  public void answer(HttpResponse value) {
    if (answer == null) {
      answer = value;
      connection.flushAnswers();
    }
  }

  @Nullable HttpResponse answer() {
    return answer;
  }

  void closed() {
    Runnable handler = closeHandler;
    if (answer == null && handler != null) {
      handler.run();
    }
  }
}
