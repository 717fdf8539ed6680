package org.acaciapond.node.proxy;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import org.acaciapond.routing.target.TargetEndpoint;
import org.jspecify.annotations.Nullable;

/**
 * HTTP client for the inbound listeners of other nodes, for one event loop.
 *
 * <p>It keeps one HTTP/2 connection per node and replaces a connection that stops responding.
 * Cancelling a call resets its stream and leaves the connection open for other calls.
 */
final class NodeClient {

  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int KEEP_ALIVE_S = 600;
  private static final int CONNECTION_WINDOW_BYTES = 4 * 1024 * 1024;

  private final Vertx vertx;
  private final RequestPathCounters counters;
  private final HttpClientOptions options =
      new HttpClientOptions()
          .setProtocolVersion(HttpVersion.HTTP_2)
          .setHttp2ClearTextUpgrade(false)
          .setConnectTimeout(CONNECT_TIMEOUT_MS)
          .setHttp2KeepAliveTimeout(KEEP_ALIVE_S)
          .setHttp2ConnectionWindowSize(CONNECTION_WINDOW_BYTES)
          .setTcpNoDelay(true);

  /** Accessed only on the event loop of this client, like the watches. */
  private final Map<SocketAddress, NodePool> pools = new HashMap<>();

  private final Map<HttpConnection, ConnectionWatch> watches = new IdentityHashMap<>();

  NodeClient(Vertx vertx, RequestPathCounters counters) {
    this.vertx = vertx;
    this.counters = counters;
  }

  /** Returns the watch of a connection, or null if the connection is closed. */
  @Nullable ConnectionWatch watchOf(HttpConnection connection) {
    return watches.get(connection);
  }

  /** Returns a request on the connection to a node; connects first if there is none. */
  Future<HttpClientRequest> request(
      TargetEndpoint target, HttpMethod method, String uri, long maxWaitMs) {
    SocketAddress address = SocketAddress.inetSocketAddress(target.inboundPort(), target.address());
    NodePool pool = pools.get(address);
    if (pool == null) {
      pool =
          new NodePool(
              vertx, options, counters, watches, retired -> pools.remove(address, retired));
      pools.put(address, pool);
    }
    return pool.request(
        new RequestOptions()
            .setServer(address)
            .setHost(target.service())
            .setPort(target.inboundPort())
            .setMethod(method)
            .setURI(uri),
        maxWaitMs);
  }
}
