package org.acaciapond.node.proxy;

import io.smallrye.mutiny.Uni;
import io.vertx.core.AbstractVerticle;
import io.vertx.core.DeploymentOptions;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.Http2Settings;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** Listener for calls that spreads its connections over several event loops. */
final class ProxyListener {

  private static final int MAX_HEADER_BYTES = 32 * 1024;
  private static final int MAX_LINE_BYTES = 8 * 1024;
  private static final int MAX_STREAMS = 1_024;
  private static final int CONNECTION_WINDOW_BYTES = 4 * 1024 * 1024;

  /** Vert.x shares a listener of the same negative port and binds it to one free port. */
  private static final AtomicInteger NEXT_SHARED_PORT = new AtomicInteger(-1);

  private final Vertx vertx;
  private final int eventLoops;
  private final HttpServerOptions options;
  private final RequestPathCounters counters;
  private final IntSupplier maxConnections;
  private final Supplier<Handler<HttpServerRequest>> handlers;
  private final AtomicInteger connections = new AtomicInteger();
  private volatile int actualPort;
  private volatile @Nullable String deploymentId;

  /**
   * Creates a listener.
   *
   * @param handlers creates the handler of one event loop, on that event loop
   * @param maxConnections most connections at a time; more are closed at once
   */
  ProxyListener(
      Vertx vertx,
      String host,
      int port,
      int eventLoops,
      RequestPathCounters counters,
      IntSupplier maxConnections,
      Supplier<Handler<HttpServerRequest>> handlers) {
    this.vertx = vertx;
    this.eventLoops = eventLoops;
    this.counters = counters;
    this.maxConnections = maxConnections;
    this.handlers = handlers;
    this.options =
        new HttpServerOptions()
            .setHost(host)
            .setPort(port == 0 ? NEXT_SHARED_PORT.getAndDecrement() : port)
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setHttp2ConnectionWindowSize(CONNECTION_WINDOW_BYTES)
            .setInitialSettings(
                new Http2Settings()
                    .setMaxConcurrentStreams(MAX_STREAMS)
                    .setMaxHeaderListSize(MAX_HEADER_BYTES))
            .setTcpNoDelay(true);
  }

  Uni<Void> start() {
    return Uni.createFrom()
        .completionStage(
            () ->
                vertx
                    .deployVerticle(Loop::new, new DeploymentOptions().setInstances(eventLoops))
                    .toCompletionStage())
        .invoke(id -> deploymentId = id)
        .replaceWithVoid();
  }

  /** Closes the listener and its connections. */
  Uni<Void> stop() {
    String id = deploymentId;
    if (id == null) {
      return Uni.createFrom().voidItem();
    }
    deploymentId = null;
    return Uni.createFrom().completionStage(() -> vertx.undeploy(id).toCompletionStage());
  }

  int port() {
    return actualPort;
  }

  private void onConnection(HttpConnection connection) {
    if (connections.incrementAndGet() > maxConnections.getAsInt()) {
      connections.decrementAndGet();
      connection.close();
      return;
    }
    // The calls on the connection report its loss themselves.
    connection.exceptionHandler(error -> {});
    connection.closeHandler(ignored -> connections.decrementAndGet());
  }

  private void onInvalid(HttpServerRequest request) {
    counters.malformedRequests.increment();
    HttpServerRequest.DEFAULT_INVALID_REQUEST_HANDLER.handle(request);
  }

  /** Server on one event loop. */
  private final class Loop extends AbstractVerticle {

    @Override
    public void start(Promise<Void> started) {
      Vertx own = vertx;
      HttpServer server = own.createHttpServer(options);
      server
          .requestHandler(handlers.get())
          .connectionHandler(ProxyListener.this::onConnection)
          .invalidRequestHandler(ProxyListener.this::onInvalid)
          .listen()
          .onSuccess(listening -> actualPort = listening.actualPort())
          .<Void>mapEmpty()
          .onComplete(started);
    }
  }
}
