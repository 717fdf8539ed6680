package org.acaciapond.http;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.impl.NetSocketInternal;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.acaciapond.common.lifecycle.ManagedService;
import org.acaciapond.common.time.TimeSource;
import org.jspecify.annotations.Nullable;

/** Listener for HTTP/1.1 requests; all its connections belong to one event loop. */
public final class HttpListener implements ManagedService {

  private static final int CHECK_INTERVAL_MS = 500;

  /** What a listener reports besides requests. */
  public interface Events {
    /** Receiver that ignores everything. */
    Events NONE =
        new Events() {
          @Override
          public void rejected(int status, String clientHost) {}

          @Override
          public void connectionFailed(String message) {}
        };

    /** A request could not be taken and was answered with a status of the listener. */
    void rejected(int status, String clientHost);

    /** A connection failed, for example because its client reset it. */
    void connectionFailed(String message);
  }

  private final Vertx vertx;
  private final String host;
  private final int port;
  private final Supplier<ServerLimits> limits;
  private final Consumer<HttpExchange> handler;
  private final Events events;
  private final TimeSource time;
  private final Set<ServerConnection> connections = new LinkedHashSet<>();
  private @Nullable NetServer server;
  private long timer = -1;
  private boolean closesConnections;

  /** Creates a listener. */
  public HttpListener(
      Vertx vertx,
      String host,
      int port,
      Supplier<ServerLimits> limits,
      Consumer<HttpExchange> handler,
      Events events,
      TimeSource time) {
    this.vertx = vertx;
    this.host = host;
    this.port = port;
    this.limits = limits;
    this.handler = handler;
    this.events = events;
    this.time = time;
  }

  @Override
  public Uni<Void> start() {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              NetServer created =
                  vertx.createNetServer(
                      new NetServerOptions().setHost(host).setPort(port).setReuseAddress(true));
              server = created;
              created.connectHandler(
                  socket -> {
                    ServerConnection connection =
                        new ServerConnection(this, (NetSocketInternal) socket, limits.get(), time);
                    connections.add(connection);
                    connection.start();
                  });
              timer = vertx.setPeriodic(CHECK_INTERVAL_MS, id -> checkTimes());
              created.listen().onSuccess(done -> emitter.complete(null)).onFailure(emitter::fail);
            });
  }

  @Override
  public Uni<Void> stop() {
    vertx.cancelTimer(timer);
    NetServer running = server;
    if (running == null) {
      return Uni.createFrom().voidItem();
    }
    return Uni.createFrom()
        .emitter(emitter -> running.close().onComplete(done -> emitter.complete(null)));
  }

  /** Returns the port in use. */
  public int port() {
    NetServer running = server;
    return running == null ? port : running.actualPort();
  }

  /** Tells clients with each answer that the connection ends. */
  public void closeConnectionsAfterAnswers() {
    closesConnections = true;
  }

  boolean closesConnections() {
    return closesConnections;
  }

  void handle(HttpExchange exchange) {
    handler.accept(exchange);
  }

  void rejected(int status, String clientHost) {
    events.rejected(status, clientHost);
  }

  void connectionFailed(Throwable error) {
    String message = error.getMessage();
    events.connectionFailed(message == null ? error.getClass().getSimpleName() : message);
  }

  void removed(ServerConnection connection) {
    connections.remove(connection);
  }

  private void checkTimes() {
    long nowNanos = time.nanoTime();
    for (ServerConnection connection : new ArrayList<>(connections)) {
      connection.checkTimes(nowNanos);
    }
  }
}
