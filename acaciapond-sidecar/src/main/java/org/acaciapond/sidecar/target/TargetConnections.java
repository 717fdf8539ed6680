package org.acaciapond.sidecar.target;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.impl.NetSocketInternal;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.http.BodyBudget;
import org.acaciapond.http.MemoryAccount;
import org.acaciapond.http.UnexpectedResponse;
import org.acaciapond.mesh.platform.SocketAddressSetting;
import org.acaciapond.sidecar.telemetry.NodeMetrics;
import org.jspecify.annotations.Nullable;

/** Connection pool for the local target. */
final class TargetConnections {

  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int MAX_RESPONSE_BYTES = 16 << 20;
  // Targets close idle connections after some seconds, in the worst case without notice. A
  // call that is not idempotent therefore reuses only a connection that was idle for less time.
  private static final long MAX_IDLE_NANOS = 4_000_000_000L;
  private static final long MAX_NON_IDEMPOTENT_IDLE_NANOS = 1_500_000_000L;

  private final SocketAddressSetting address;
  private final NetClient client;
  private final NodeMetrics metrics;
  private final int maxCallsSinceOpened;
  private final BiConsumer<TargetConnection, UnexpectedResponse> onUnexpected;
  private final TimeSource time;
  private final BodyBudget responseBudget;
  private final Deque<TargetConnection> idle = new ArrayDeque<>();
  private long connectionCount;
  private long callCount;

  /**
   * Creates an empty pool.
   *
   * @param vertx event loops
   * @param address address of the target
   * @param metrics counters of connections
   * @param maxCallsSinceOpened number of calls, on all connections, after which a connection is not
   *     used again. The ids of all calls that a connection has carried must still be known, so that
   *     a repeated call is recognized.
   * @param onUnexpected receives responses that were not asked for
   * @param time clock
   */
  TargetConnections(
      Vertx vertx,
      SocketAddressSetting address,
      NodeMetrics metrics,
      int maxCallsSinceOpened,
      BiConsumer<TargetConnection, UnexpectedResponse> onUnexpected,
      TimeSource time) {
    this(
        vertx,
        address,
        metrics,
        maxCallsSinceOpened,
        MemoryAccount.unlimited(),
        onUnexpected,
        time);
  }

  /** Creates an empty pool that also reserves the bodies of responses in an account. */
  TargetConnections(
      Vertx vertx,
      SocketAddressSetting address,
      NodeMetrics metrics,
      int maxCallsSinceOpened,
      MemoryAccount memory,
      BiConsumer<TargetConnection, UnexpectedResponse> onUnexpected,
      TimeSource time) {
    this.responseBudget = new BodyBudget(MAX_RESPONSE_BYTES, memory);
    this.address = address;
    this.metrics = metrics;
    this.maxCallsSinceOpened = maxCallsSinceOpened;
    this.onUnexpected = onUnexpected;
    this.time = time;
    this.client =
        vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS));
  }

  /**
   * Passes an idle or a new connection to {@code use}, or the error of the connection attempt to
   * {@code fail}.
   *
   * @param idempotent whether the call may be repeated if the connection turns out to be closed
   * @param repeated whether a call with the same id was sent before. It gets a new connection,
   *     because on an old one a late copy of the first response could pass for its own.
   */
  void acquire(
      boolean idempotent,
      boolean repeated,
      Consumer<TargetConnection> use,
      Consumer<Throwable> fail) {
    callCount++;
    long nowNanos = time.nanoTime();
    long maxIdleNanos = idempotent ? MAX_IDLE_NANOS : MAX_NON_IDEMPOTENT_IDLE_NANOS;
    TargetConnection reusable = repeated ? null : lastIdle();
    if (reusable != null) {
      if (reusable.isUsable(nowNanos, maxIdleNanos)) {
        idle.removeLast();
        use.accept(reusable);
        return;
      }
      if (!reusable.isUsable(nowNanos, MAX_IDLE_NANOS)) {
        closeIdle();
      }
    }
    client
        .connect(address.port(), address.host())
        .onSuccess(
            socket -> {
              metrics.countTargetConnection("ok");
              use.accept(
                  new TargetConnection(
                      (NetSocketInternal) socket,
                      ++connectionCount,
                      callCount,
                      MAX_RESPONSE_BYTES,
                      responseBudget,
                      onUnexpected,
                      time));
            })
        .onFailure(
            error -> {
              metrics.countTargetConnection("failed");
              fail.accept(error);
            });
  }

  private @Nullable TargetConnection lastIdle() {
    while (!idle.isEmpty() && isOutdated(idle.peekLast())) {
      idle.removeLast().close();
    }
    return idle.peekLast();
  }

  private boolean isOutdated(TargetConnection connection) {
    return callCount - connection.openedAtCall() > maxCallsSinceOpened;
  }

  /** Returns a connection to the pool after its request has ended, or closes it if unusable. */
  void release(TargetConnection connection) {
    if (connection.isUsable(time.nanoTime(), MAX_IDLE_NANOS)) {
      idle.addLast(connection);
    } else {
      connection.close();
    }
  }

  /** Closes connections that were idle for too long; the deque has the oldest first. */
  void closeExpired() {
    long nowNanos = time.nanoTime();
    while (!idle.isEmpty() && !idle.peekFirst().isUsable(nowNanos, MAX_IDLE_NANOS)) {
      idle.removeFirst().close();
    }
  }

  /** Closes all idle connections. */
  void closeIdle() {
    idle.forEach(TargetConnection::close);
    idle.clear();
  }
}
