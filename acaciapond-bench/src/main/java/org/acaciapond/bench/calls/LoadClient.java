package org.acaciapond.bench.calls;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/** Client that sends calls to one port over several event loops, each with its own connections. */
final class LoadClient {

  /** Response to a call. */
  record Response(int status, @Nullable String outcome, Buffer body) {}

  private static final int EVENT_LOOPS = 2;
  private static final int CONNECTIONS_PER_LOOP = 500;
  private static final int MAX_QUEUED_CALLS = 100_000;

  private final int port;
  private final String service;
  private final List<Context> contexts = new ArrayList<>();
  private final List<HttpClient> clients = new ArrayList<>();
  private final AtomicInteger nextIndex = new AtomicInteger();

  LoadClient(Vertx vertx, int port, String service) {
    this.port = port;
    this.service = service;
    for (int i = 0; i < EVENT_LOOPS; i++) {
      contexts.add(((io.vertx.core.impl.VertxInternal) vertx).createEventLoopContext());
      clients.add(
          vertx.createHttpClient(
              new HttpClientOptions().setTcpNoDelay(true),
              new PoolOptions()
                  .setHttp1MaxSize(CONNECTIONS_PER_LOOP)
                  .setMaxWaitQueueSize(MAX_QUEUED_CALLS)));
    }
  }

  /** Sends a call; the future completes on an event loop. */
  Future<Response> send(HttpMethod method, String uri, Buffer body, @Nullable String deadlineMs) {
    int index = Math.floorMod(nextIndex.getAndIncrement(), EVENT_LOOPS);
    io.vertx.core.Promise<Response> promise = io.vertx.core.Promise.promise();
    contexts
        .get(index)
        .runOnContext(
            ignored -> exchange(index, method, uri, body, deadlineMs).onComplete(promise));
    return promise.future();
  }

  private Future<Response> exchange(
      int index, HttpMethod method, String uri, Buffer body, @Nullable String deadlineMs) {
    RequestOptions options =
        new RequestOptions()
            .setServer(SocketAddress.inetSocketAddress(port, "127.0.0.1"))
            .setHost(service)
            .setPort(port)
            .setMethod(method)
            .setURI(uri);
    if (deadlineMs != null) {
      options.putHeader("x-acaciapond-deadline-ms", deadlineMs);
    }
    return clients
        .get(index)
        .request(options)
        .compose(request -> body.length() == 0 ? request.send() : request.send(body))
        .compose(
            response ->
                response
                    .body()
                    .map(
                        data ->
                            new Response(
                                response.statusCode(),
                                response.getHeader("x-acaciapond-outcome"),
                                data)));
  }
}
