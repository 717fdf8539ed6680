package org.acaciapond.node.proxy;

import io.vertx.core.Future;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.RequestOptions;
import java.util.Set;

/** Forwarder that streams a request and its answer with back-pressure. */
final class HttpForwarder {

  private static final Set<String> HOP_HEADERS =
      Set.of("connection", "keep-alive", "transfer-encoding", "upgrade", "te", "trailer");

  private final HttpClient client;

  HttpForwarder(HttpClient client) {
    this.client = client;
  }

  /** Forwards a request; the result fails when no answer was received. */
  Future<HttpClientResponse> forward(
      HttpServerRequest request,
      RequestOptions options,
      java.util.function.Consumer<HttpClientRequest> prepare) {
    // The body must not be read before the outgoing request is ready for it.
    request.pause();
    return client
        .request(options.setMethod(request.method()).setURI(request.uri()))
        .compose(
            outgoing -> {
              copyHeaders(request, outgoing);
              prepare.accept(outgoing);
              return outgoing.send(request);
            });
  }

  private static void copyHeaders(HttpServerRequest request, HttpClientRequest outgoing) {
    request
        .headers()
        .forEach(
            (name, value) -> {
              if (!HOP_HEADERS.contains(name.toLowerCase(java.util.Locale.ROOT))) {
                outgoing.headers().add(name, value);
              }
            });
  }

  /** Streams an answer back to the caller. */
  Future<Void> answer(HttpServerRequest request, HttpClientResponse response) {
    request.response().setStatusCode(response.statusCode());
    response
        .headers()
        .forEach(
            (name, value) -> {
              if (!HOP_HEADERS.contains(name.toLowerCase(java.util.Locale.ROOT))) {
                request.response().headers().add(name, value);
              }
            });
    if (!response.headers().contains("content-length")) {
      request.response().setChunked(true);
    }
    return response.pipeTo(request.response());
  }

  /** Refuses a request with a status and a stated fate. */
  static void refuse(HttpServerRequest request, int status, String outcome, String reason) {
    if (!request.response().headWritten()) {
      request
          .response()
          .setStatusCode(status)
          .putHeader(MeshHeaders.OUTCOME, outcome)
          .end(reason + "\n");
    }
  }
}
