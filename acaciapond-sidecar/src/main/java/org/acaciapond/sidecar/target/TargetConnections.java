package org.acaciapond.sidecar.target;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.impl.NetSocketInternal;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.http.ClientConnection;
import org.acaciapond.mesh.platform.SocketAddressSetting;
import org.acaciapond.sidecar.telemetry.NodeMetrics;

/** Kept connections to the target beside the node. */
final class TargetConnections {

  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int MAX_ANSWER_BYTES = 16 << 20;
  // Targets close idle connections after seconds, without notice in the worst case. A call that may
  // not run twice takes only a connection that was used a moment ago.
  private static final long REPEATABLE_IDLE_NANOS = 4_000_000_000L;
  private static final long ONCE_IDLE_NANOS = 1_500_000_000L;

  private final SocketAddressSetting address;
  private final NetClient client;
  private final NodeMetrics metrics;
  private final TimeSource time;
  private final Deque<ClientConnection> idle = new ArrayDeque<>();

  TargetConnections(
      Vertx vertx, SocketAddressSetting address, NodeMetrics metrics, TimeSource time) {
    this.address = address;
    this.metrics = metrics;
    this.time = time;
    this.client =
        vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS));
  }

  /** Passes a free connection on, or the reason why there is none. */
  void take(boolean repeatable, Consumer<ClientConnection> use, Consumer<Throwable> fail) {
    long nowNanos = time.nanoTime();
    long maxIdleNanos = repeatable ? REPEATABLE_IDLE_NANOS : ONCE_IDLE_NANOS;
    ClientConnection kept = idle.peekLast();
    if (kept != null) {
      if (kept.isUsable(nowNanos, maxIdleNanos)) {
        idle.removeLast();
        use.accept(kept);
        return;
      }
      if (!kept.isUsable(nowNanos, REPEATABLE_IDLE_NANOS)) {
        closeIdle();
      }
    }
    client
        .connect(address.port(), address.host())
        .onSuccess(
            socket -> {
              metrics.countTargetConnection("ok");
              use.accept(
                  new ClientConnection(
                      (NetSocketInternal) socket, MAX_ANSWER_BYTES, () -> {}, time));
            })
        .onFailure(
            error -> {
              metrics.countTargetConnection("failed");
              fail.accept(error);
            });
  }

  /** Keeps a connection whose request has ended. */
  void put(ClientConnection connection) {
    if (connection.isUsable(time.nanoTime(), REPEATABLE_IDLE_NANOS)) {
      idle.addLast(connection);
    } else {
      connection.close();
    }
  }

  /** Closes connections that were idle for too long; the oldest stand first. */
  void sweep() {
    long nowNanos = time.nanoTime();
    while (!idle.isEmpty() && !idle.peekFirst().isUsable(nowNanos, REPEATABLE_IDLE_NANOS)) {
      idle.removeFirst().close();
    }
  }

  /** Closes all idle connections. */
  void closeIdle() {
    idle.forEach(ClientConnection::close);
    idle.clear();
  }
}
