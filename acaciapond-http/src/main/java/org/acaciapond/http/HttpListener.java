package org.acaciapond.http;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.net.impl.NetSocketInternal;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.acaciapond.common.lifecycle.ManagedService;
import org.acaciapond.common.time.TimeSource;

/** HTTP/1.1 server on one address; all its connections run on one event loop. */
public final class HttpListener implements ManagedService {

  private static final int CHECK_INTERVAL_MS = 250;
  private static final int EVICTED_DIVISOR = 64;
  // The system would keep up to some MB for each connection that is not read.
  private static final int RECEIVE_BUFFER_BYTES = 128 << 10;

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

    /** A limit of the process ended a request or a connection. */
    default void limited(Limit limit) {}
  }

  /** Limit of the process that ended a request or a connection. */
  public enum Limit {
    /** A request was refused as there was no memory for it in time. */
    UPLOAD_REFUSED,
    /** A head without progress was ended. */
    HEAD_STALLED,
    /** An upload without progress was ended. */
    UPLOAD_STALLED,
    /** A connection whose client did not read its responses was closed. */
    READER_STALLED,
    /** A connection without a complete request was closed in favour of a new one. */
    CONNECTION_EVICTED,
    /** A new connection was closed, as all others have requests in progress. */
    CONNECTION_REFUSED
  }

  private final Vertx vertx;
  private final SocketServer server;
  private final Supplier<ServerLimits> limits;
  private final Consumer<HttpExchange> handler;
  private final Events events;
  private final TimeSource time;
  private final ListenerResources resources;
  private final UploadQueue uploads;
  private final Set<ServerConnection> connections = new LinkedHashSet<>();
  private boolean grantScheduled;
  private long timer = -1;
  private boolean closeAfterResponses;
  private int unwrittenResponses;

  /** Creates a listener whose connections may use any amount of memory. */
  public HttpListener(
      Vertx vertx,
      String host,
      int port,
      Supplier<ServerLimits> limits,
      Consumer<HttpExchange> handler,
      Events events,
      TimeSource time) {
    this(vertx, host, port, limits, ListenerResources.unlimited(), handler, events, time);
  }

  /**
   * Creates a listener.
   *
   * @param vertx event loops
   * @param host address to listen on
   * @param port port to listen on, 0 for any
   * @param limits limits for the requests of new connections
   * @param resources what all connections together may use
   * @param handler receives complete requests
   * @param events receives other events
   * @param time clock
   */
  public HttpListener(
      Vertx vertx,
      String host,
      int port,
      Supplier<ServerLimits> limits,
      ListenerResources resources,
      Consumer<HttpExchange> handler,
      Events events,
      TimeSource time) {
    this.vertx = vertx;
    this.server = new SocketServer(vertx, host, port, RECEIVE_BUFFER_BYTES, this::accept);
    this.limits = limits;
    this.resources = resources;
    this.uploads = new UploadQueue(resources.memory());
    this.handler = handler;
    this.events = events;
    this.time = time;
  }

  @Override
  public Uni<Void> start() {
    return server.start().onItem().invoke(this::onStarted);
  }

  private void onStarted() {
    timer = vertx.setPeriodic(CHECK_INTERVAL_MS, id -> check());
    resources.memory().setReleaseListener(this::scheduleGrant);
  }

  // The memory may be released in the middle of a change to the connection that is granted it.
  private void scheduleGrant() {
    if (!uploads.isEmpty() && !grantScheduled) {
      grantScheduled = true;
      vertx.runOnContext(
          on -> {
            grantScheduled = false;
            uploads.grantWaiting();
          });
    }
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
    if (connections.size() >= resources.maxConnections() && !evictConnections()) {
      limited(Limit.CONNECTION_REFUSED);
      socket.close();
      return;
    }
    ServerConnection connection =
        new ServerConnection(this, socket, vertx.getOrCreateContext(), limits.get(), time);
    connections.add(connection);
    connection.start();
  }

  // Several at once, as each search looks at all connections.
  private boolean evictConnections() {
    List<ServerConnection> longestSilent =
        connections.stream()
            .filter(each -> !each.hasCompleteRequest())
            .sorted(Comparator.comparingLong(ServerConnection::lastReceivedNanos))
            .limit(1 + resources.maxConnections() / EVICTED_DIVISOR)
            .toList();
    for (ServerConnection each : longestSilent) {
      limited(Limit.CONNECTION_EVICTED);
      each.closeNow();
    }
    return !longestSilent.isEmpty();
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

  void limited(Limit limit) {
    events.limited(limit);
  }

  MemoryAccount memory() {
    return resources.memory();
  }

  UploadQueue uploads() {
    return uploads;
  }

  void connectionFailed(Throwable error) {
    UnrecoverableErrors.report(error);
    String message = error.getMessage();
    events.connectionFailed(message == null ? error.getClass().getSimpleName() : message);
  }

  void removeConnection(ServerConnection connection) {
    connections.remove(connection);
  }

  private void check() {
    long nowNanos = time.nanoTime();
    resources.memory().check();
    uploads.check(nowNanos);
    for (ServerConnection connection : new ArrayList<>(connections)) {
      connection.checkTimeouts(nowNanos);
    }
  }
}
