package org.acaciapond.node.proxy;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import java.util.IdentityHashMap;
import java.util.Map;
import org.acaciapond.routing.target.TargetEndpoint;
import org.jspecify.annotations.Nullable;

/**
 * Client of the inbound listeners of other nodes, for one event loop.
 *
 * <p>It keeps one HTTP/2 connection for each node and replaces it when it goes silent. Cancelling a
 * call resets its stream and leaves the connection to the other calls.
 */
final class NodeClient {

  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int KEEP_ALIVE_S = 600;
  private static final int CONNECTION_WINDOW_BYTES = 4 * 1024 * 1024;
  private static final int MAX_WAITING = 1_024;
  private static final int CONNECTIONS_PER_NODE = 1;

  private final HttpClient client;

  /** Read and written on the event loop of this client only. */
  private final Map<HttpConnection, ConnectionWatch> watches = new IdentityHashMap<>();

  NodeClient(Vertx vertx, RequestPathCounters counters) {
    HttpClientOptions options =
        new HttpClientOptions()
            .setProtocolVersion(HttpVersion.HTTP_2)
            .setHttp2ClearTextUpgrade(false)
            .setConnectTimeout(CONNECT_TIMEOUT_MS)
            .setHttp2KeepAliveTimeout(KEEP_ALIVE_S)
            .setHttp2ConnectionWindowSize(CONNECTION_WINDOW_BYTES)
            .setTcpNoDelay(true);
    PoolOptions pool =
        new PoolOptions().setHttp2MaxSize(CONNECTIONS_PER_NODE).setMaxWaitQueueSize(MAX_WAITING);
    this.client =
        vertx
            .httpClientBuilder()
            .with(options)
            .with(pool)
            .withConnectHandler(connection -> watch(vertx, connection, counters))
            .build();
  }

  private void watch(Vertx vertx, HttpConnection connection, RequestPathCounters counters) {
    ConnectionWatch watch = new ConnectionWatch(vertx, connection, counters);
    watches.put(connection, watch);
    watch.start(() -> watches.remove(connection));
  }

  /** Returns the watch of a connection, or null when it is closed. */
  @Nullable ConnectionWatch watchOf(HttpConnection connection) {
    return watches.get(connection);
  }

  /** Returns a request on the connection to a node, connecting first when there is none. */
  Future<HttpClientRequest> request(TargetEndpoint target, HttpMethod method, String uri) {
    return client.request(
        new RequestOptions()
            .setServer(SocketAddress.inetSocketAddress(target.inboundPort(), target.address()))
            .setHost(target.service())
            .setPort(target.inboundPort())
            .setMethod(method)
            .setURI(uri));
  }
}
