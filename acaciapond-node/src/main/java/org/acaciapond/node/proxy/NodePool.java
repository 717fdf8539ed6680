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
 * Pool of the connection to one node, confined to one event loop.
 *
 * <p>The connect timeout of Vert.x ends with the TCP handshake. A connection that is accepted but
 * never sends its HTTP/2 settings would hold the only place of the pool for good, so the pool is
 * replaced when no attempt to connect ended within {@link #HANDSHAKE_MS}.
 */
final class NodePool {

  private static final Logger LOG = LogManager.getLogger(NodePool.class);
  private static final int MAX_WAITING = 1_024;
  private static final int CONNECTIONS_PER_NODE = 1;

  /** Equals the time after which an open connection without answers is closed, rounded up. */
  private static final long HANDSHAKE_MS = 2_000;

  private final Vertx vertx;
  private final RequestPathCounters counters;
  private final Map<HttpConnection, ConnectionWatch> watches;
  private final Consumer<NodePool> onEnded;
  private final HttpClient client;
  private int open;
  private int usable;
  private int waiting;
  private boolean connecting;
  private boolean ended;

  /** Attempts to connect that came to an end, well or not. */
  private long progress;

  /**
   * Creates a pool without connections.
   *
   * @param watches receives the watch of each open connection
   * @param onEnded called once when the pool is of no more use
   */
  NodePool(
      Vertx vertx,
      HttpClientOptions options,
      RequestPathCounters counters,
      Map<HttpConnection, ConnectionWatch> watches,
      Consumer<NodePool> onEnded) {
    this.vertx = vertx;
    this.counters = counters;
    this.watches = watches;
    this.onEnded = onEnded;
    this.client =
        vertx
            .httpClientBuilder()
            .with(options)
            .with(
                new PoolOptions()
                    .setHttp2MaxSize(CONNECTIONS_PER_NODE)
                    .setMaxWaitQueueSize(MAX_WAITING))
            .withConnectHandler(this::connected)
            .build();
  }

  /**
   * Returns a request on the connection, connecting first when there is none.
   *
   * @param maxWaitMs time after which the request no longer waits for a connection
   */
  Future<HttpClientRequest> request(RequestOptions request, long maxWaitMs) {
    waiting++;
    if (usable == 0 && !connecting) {
      connecting = true;
      long seen = progress;
      vertx.setTimer(HANDSHAKE_MS, id -> checkHandshake(seen));
    }
    // Without this limit a call that is over keeps its place, and its stream once it gets one.
    request.setConnectTimeout(Math.max(1, Math.min(HANDSHAKE_MS, maxWaitMs)));
    return client.request(request).onComplete(this::settle);
  }

  private void settle(AsyncResult<HttpClientRequest> result) {
    waiting--;
    if (result.failed() && !(result.cause() instanceof TimeoutException)) {
      progress++;
    }
    endIfIdle();
  }

  private void connected(HttpConnection connection) {
    ConnectionWatch watch = new ConnectionWatch(vertx, connection, counters);
    watches.put(connection, watch);
    open++;
    usable++;
    progress++;
    watch.start(() -> usable--, () -> closed(connection));
  }

  private void closed(HttpConnection connection) {
    watches.remove(connection);
    open--;
    endIfIdle();
  }

  private void checkHandshake(long seen) {
    connecting = false;
    if (!ended && usable == 0 && progress == seen) {
      counters.silentConnections.increment();
      LOG.info("A connection stayed silent in its handshake and is replaced");
      // Later calls use a new pool; those that wait here fail as not sent and may be retried.
      end();
      if (open == 0) {
        client.close();
      }
    }
    endIfIdle();
  }

  /** Ends the pool of a node that went away, since its address may never be used again. */
  private void endIfIdle() {
    if (open == 0 && waiting == 0 && !connecting) {
      end();
      client.close();
    }
  }

  private void end() {
    if (!ended) {
      ended = true;
      onEnded.accept(this);
    }
  }
}
