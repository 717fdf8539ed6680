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

/** HTTP listener that distributes its connections over several event loops. */
final class ProxyListener {

  private static final int MAX_HEADER_BYTES = 32 * 1024;
  private static final int MAX_INITIAL_LINE_BYTES = 8 * 1024;
  private static final int MAX_CONCURRENT_STREAMS = 1_024;
  private static final int CONNECTION_WINDOW_BYTES = 4 * 1024 * 1024;

  /** Vert.x binds all listeners with the same negative port to one shared free port. */
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
   * @param maxConnections maximum number of open connections; further ones are closed immediately
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
            .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
            .setHttp2ConnectionWindowSize(CONNECTION_WINDOW_BYTES)
            .setInitialSettings(
                new Http2Settings()
                    .setMaxConcurrentStreams(MAX_CONCURRENT_STREAMS)
                    .setMaxHeaderListSize(MAX_HEADER_BYTES))
            .setTcpNoDelay(true);
  }

  Uni<Void> start() {
    return Uni.createFrom()
        .completionStage(
            () ->
                vertx
                    .deployVerticle(
                        EventLoopServer::new, new DeploymentOptions().setInstances(eventLoops))
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
    // Each call on the connection reports the loss itself.
    connection.exceptionHandler(error -> {});
    connection.closeHandler(ignored -> connections.decrementAndGet());
  }

  private void onInvalid(HttpServerRequest request) {
    counters.malformedRequests.increment();
    HttpServerRequest.DEFAULT_INVALID_REQUEST_HANDLER.handle(request);
  }

  /** Server on one event loop. */
  private final class EventLoopServer extends AbstractVerticle {

    @Override
    public void start(Promise<Void> started) {
      Vertx eventLoopVertx = vertx;
      HttpServer server = eventLoopVertx.createHttpServer(options);
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
