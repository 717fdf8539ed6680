package org.acaciapond.node.proxy;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Liveness check of one connection to another node.
 *
 * <p>It pings every 500 ms and closes the connection when a ping is unanswered for 1,500 ms, so
 * that a connection that went silent is found within 2 s.
 */
final class ConnectionWatch {

  private static final Logger LOG = LogManager.getLogger(ConnectionWatch.class);
  private static final long INTERVAL_MS = 500;
  private static final int MAX_UNANSWERED = 3;
  private static final Buffer PING = Buffer.buffer(new byte[8]);

  private final Vertx vertx;
  private final HttpConnection connection;
  private final RequestPathCounters counters;
  private int unanswered;
  private long timerId;

  ConnectionWatch(Vertx vertx, HttpConnection connection, RequestPathCounters counters) {
    this.vertx = vertx;
    this.connection = connection;
    this.counters = counters;
  }

  void start() {
    timerId = vertx.setPeriodic(INTERVAL_MS, id -> check());
    // The calls on the connection report its loss themselves.
    connection.exceptionHandler(error -> {});
    connection.closeHandler(ignored -> vertx.cancelTimer(timerId));
  }

  private void check() {
    if (unanswered >= MAX_UNANSWERED) {
      vertx.cancelTimer(timerId);
      counters.silentConnections.increment();
      LOG.info("Connection to {} went silent and is replaced", connection.remoteAddress());
      connection.close();
      return;
    }
    unanswered++;
    connection.ping(PING).onSuccess(answer -> unanswered = 0);
  }
}
