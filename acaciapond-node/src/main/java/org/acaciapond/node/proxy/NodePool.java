package org.acaciapond.node.proxy;

import io.vertx.core.AsyncResult;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.Map;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Connection pool for one node, which holds a single connection; confined to one event loop.
 *
 * <p>The connect timeout of Vert.x covers only the TCP handshake. A connection that is accepted but
 * never receives HTTP/2 settings would occupy the only slot of the pool forever, so the pool is
 * replaced if no connection attempt ends within {@link #HANDSHAKE_TIMEOUT_MS}.
 */
final class NodePool {

  private static final Logger LOG = LogManager.getLogger(NodePool.class);
  private static final int MAX_QUEUED_REQUESTS = 1_024;
  private static final int CONNECTIONS_PER_NODE = 1;

  /** Time after which {@link ConnectionWatch} closes an unresponsive connection, rounded up. */
  private static final long HANDSHAKE_TIMEOUT_MS = 2_000;

  private final Vertx vertx;
  private final RequestPathCounters counters;
  private final Map<HttpConnection, ConnectionWatch> watches;
  private final Consumer<NodePool> onRetired;
  private final HttpClient client;
  private int openConnections;
  private int usableConnections;
  private int queuedRequests;
  private boolean connecting;
  private boolean retired;

  /** Number of connection attempts that ended, successfully or not. */
  private long endedAttempts;

  /**
   * Creates a pool without connections.
   *
   * @param watches map to which the watch of each open connection is added
   * @param onRetired called once when the pool must no longer be used
   */
  NodePool(
      Vertx vertx,
      HttpClientOptions options,
      RequestPathCounters counters,
      Map<HttpConnection, ConnectionWatch> watches,
      Consumer<NodePool> onRetired) {
    this.vertx = vertx;
    this.counters = counters;
    this.watches = watches;
    this.onRetired = onRetired;
    this.client =
        vertx
            .httpClientBuilder()
            .with(options)
            .with(
                new PoolOptions()
                    .setHttp2MaxSize(CONNECTIONS_PER_NODE)
                    .setMaxWaitQueueSize(MAX_QUEUED_REQUESTS))
            .withConnectHandler(this::onConnected)
            .build();
  }

  /**
   * Returns a request on the connection; connects first if there is none.
   *
   * @param maxWaitMs longest time that the request waits for a connection
   */
  Future<HttpClientRequest> request(RequestOptions request, long maxWaitMs) {
    queuedRequests++;
    if (usableConnections == 0 && !connecting) {
      connecting = true;
      long endedBefore = endedAttempts;
      vertx.setTimer(HANDSHAKE_TIMEOUT_MS, id -> checkHandshake(endedBefore));
    }
    // Without this limit a call that has ended would stay queued and later occupy a stream.
    request.setConnectTimeout(Math.max(1, Math.min(HANDSHAKE_TIMEOUT_MS, maxWaitMs)));
    return client.request(request).onComplete(this::onRequestReady);
  }

  private void onRequestReady(AsyncResult<HttpClientRequest> result) {
    queuedRequests--;
    if (result.failed() && !(result.cause() instanceof TimeoutException)) {
      endedAttempts++;
    }
    retireIfIdle();
  }

  private void onConnected(HttpConnection connection) {
    ConnectionWatch watch = new ConnectionWatch(vertx, connection, counters);
    watches.put(connection, watch);
    openConnections++;
    usableConnections++;
    endedAttempts++;
    watch.start(() -> usableConnections--, () -> onClosed(connection));
  }

  private void onClosed(HttpConnection connection) {
    watches.remove(connection);
    openConnections--;
    retireIfIdle();
  }

  private void checkHandshake(long endedBefore) {
    connecting = false;
    if (!retired && usableConnections == 0 && endedAttempts == endedBefore) {
      counters.silentConnections.increment();
      LOG.info("Replacing a connection pool: HTTP/2 handshake timed out");
      // Later calls use a new pool; calls queued here fail as not sent and may be retried.
      retire();
      if (openConnections == 0) {
        client.close();
      }
    }
    retireIfIdle();
  }

  /** Retires an idle pool, because the address of a departed node may never be used again. */
  private void retireIfIdle() {
    if (openConnections == 0 && queuedRequests == 0 && !connecting) {
      retire();
      client.close();
    }
  }

  private void retire() {
    if (!retired) {
      retired = true;
      onRetired.accept(this);
    }
  }
}
