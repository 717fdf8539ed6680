package org.acaciapond.http;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.net.impl.NetSocketInternal;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.acaciapond.common.lifecycle.ManagedService;
import org.acaciapond.common.time.TimeSource;

/** HTTP/1.1 server on one address; all its connections run on one event loop. */
public final class HttpListener implements ManagedService {

  private static final int TIMEOUT_CHECK_INTERVAL_MS = 500;

  /** Listener for the events of an HTTP listener other than requests. */
  public interface Events {
    /** Implementation that ignores all events. */
    Events NONE =
        new Events() {
          @Override
          public void requestRejected(int status, String clientHost) {}

          @Override
          public void connectionFailed(String message) {}
        };

    /** The listener rejected an invalid request with the given status. */
    void requestRejected(int status, String clientHost);

    /** A connection failed, for example because its client reset it. */
    void connectionFailed(String message);
  }

  private final Vertx vertx;
  private final SocketServer server;
  private final Supplier<ServerLimits> limits;
  private final Consumer<HttpExchange> handler;
  private final Events events;
  private final TimeSource time;
  private final Set<ServerConnection> connections = new LinkedHashSet<>();
  private long timer = -1;
  private boolean closeAfterResponses;
  private int unwrittenResponses;

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
    this.server = new SocketServer(vertx, host, port, this::accept);
    this.limits = limits;
    this.handler = handler;
    this.events = events;
    this.time = time;
  }

  @Override
  public Uni<Void> start() {
    return server
        .start()
        .onItem()
        .invoke(() -> timer = vertx.setPeriodic(TIMEOUT_CHECK_INTERVAL_MS, id -> checkTimeouts()));
  }

  @Override
  public Uni<Void> stop() {
    vertx.cancelTimer(timer);
    return server.stop();
  }

  /** Returns the port in use. */
  public int port() {
    return server.port();
  }

  private void accept(NetSocketInternal socket) {
    ServerConnection connection =
        new ServerConnection(this, socket, vertx.getOrCreateContext(), limits.get(), time);
    connections.add(connection);
    connection.start();
  }

  /** Closes each connection after its last pending response, which announces the close. */
  public void closeConnectionsAfterResponses() {
    closeAfterResponses = true;
  }

  /**
   * Returns the number of responses that are not written completely, as their clients read slowly.
   */
  public int unwrittenResponses() {
    return unwrittenResponses;
  }

  void responseStarted() {
    unwrittenResponses++;
  }

  void responseWritten() {
    unwrittenResponses--;
  }

  boolean closeAfterResponses() {
    return closeAfterResponses;
  }

  void handle(HttpExchange exchange) {
    handler.accept(exchange);
  }

  void requestRejected(int status, String clientHost) {
    events.requestRejected(status, clientHost);
  }

  void connectionFailed(Throwable error) {
    String message = error.getMessage();
    events.connectionFailed(message == null ? error.getClass().getSimpleName() : message);
  }

  void removeConnection(ServerConnection connection) {
    connections.remove(connection);
  }

  private void checkTimeouts() {
    long nowNanos = time.nanoTime();
    for (ServerConnection connection : new ArrayList<>(connections)) {
      connection.checkTimeouts(nowNanos);
    }
  }
}
