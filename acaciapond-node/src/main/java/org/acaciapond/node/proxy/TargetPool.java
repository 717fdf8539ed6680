package org.acaciapond.node.proxy;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import org.acaciapond.http.CheckedClientCodec;
import org.jspecify.annotations.Nullable;

/**
 * Pool of the connections to the local target for one event loop, sized by the configured limit.
 *
 * <p>When the limit changes, later calls use a new client. The old client is closed when its last
 * call has ended, so that no call is interrupted.
 */
final class TargetPool {

  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int KEEP_ALIVE_S = 30;

  /** Reference-counted client, released by each call that uses it. */
  static final class Lease {
    final HttpClient client;
    private final int connections;
    private int users;
    private boolean replaced;

    private Lease(HttpClient client, int connections) {
      this.client = client;
      this.connections = connections;
    }

    /** Releases the client after one call. */
    void release() {
      users--;
      closeIfUnused();
    }

    private void closeIfUnused() {
      if (replaced && users == 0) {
        client.close();
      }
    }
  }

  private final Vertx vertx;
  private final int eventLoops;
  private final TargetResponses responses = new TargetResponses();
  private @Nullable Lease current;

  TargetPool(Vertx vertx, int eventLoops) {
    this.vertx = vertx;
    this.eventLoops = eventLoops;
  }

  /** Returns the check of the responses that arrive on the connections. */
  TargetResponses responses() {
    return responses;
  }

  /**
   * Returns the client for one call.
   *
   * @param connections maximum number of connections to the target across all event loops
   */
  Lease acquire(int connections) {
    Lease lease = current;
    if (lease == null || lease.connections != connections) {
      Lease old = lease;
      lease = new Lease(newClient(Math.max(1, connections / eventLoops)), connections);
      current = lease;
      if (old != null) {
        old.replaced = true;
        old.closeIfUnused();
      }
    }
    lease.users++;
    return lease;
  }

  private HttpClient newClient(int connections) {
    return vertx
        .httpClientBuilder()
        .with(
            new HttpClientOptions()
                .setConnectTimeout(CONNECT_TIMEOUT_MS)
                .setKeepAliveTimeout(KEEP_ALIVE_S)
                .setTcpNoDelay(true))
        .with(new PoolOptions().setHttp1MaxSize(connections))
        .withConnectHandler(CheckedClientCodec::install)
        .build();
  }
}
