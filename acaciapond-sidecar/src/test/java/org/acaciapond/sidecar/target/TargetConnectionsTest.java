package org.acaciapond.sidecar.target;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.mesh.platform.SocketAddressSetting;
import org.acaciapond.sidecar.telemetry.NodeMetrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class TargetConnectionsTest {

  private static final int WAIT_S = 10;
  private static final int MAX_CALLS_SINCE_OPENED = 3;

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private ServerSocket target;

  @BeforeEach
  void start() throws IOException {
    target = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void stop() throws IOException {
    vertx.close().toCompletionStage().toCompletableFuture().join();
    target.close();
  }

  private TargetConnections newConnections() {
    return new TargetConnections(
        vertx,
        new SocketAddressSetting("127.0.0.1", target.getLocalPort()),
        new NodeMetrics(),
        MAX_CALLS_SINCE_OPENED,
        (connection, response) -> {},
        TimeSource.system());
  }

  /** Acquires and releases a connection for each call; returns the numbers of the connections. */
  private List<Long> numbersOf(int calls, boolean repeated) throws Exception {
    CompletableFuture<List<Long>> result = new CompletableFuture<>();
    vertx.runOnContext(
        on -> acquireAll(newConnections(), calls, repeated, new ArrayList<>(), result));
    return result.get(WAIT_S, TimeUnit.SECONDS);
  }

  private static void acquireAll(
      TargetConnections connections,
      int calls,
      boolean repeated,
      List<Long> numbers,
      CompletableFuture<List<Long>> result) {
    if (numbers.size() == calls) {
      result.complete(numbers);
      return;
    }
    connections.acquire(
        true,
        repeated,
        connection -> {
          numbers.add(connection.number());
          connections.release(connection);
          acquireAll(connections, calls, repeated, numbers, result);
        },
        result::completeExceptionally);
  }

  /** The id of an older call on the connection would no longer be known. */
  @Test
  void connectionIsNotReusedAfterMoreCallsThanIdsAreRemembered() throws Exception {
    assertEquals(List.of(1L, 1L, 1L, 1L, 2L), numbersOf(5, false));
  }

  /** Connections that were used later are taken first, so that an older one may wait for long. */
  @Test
  void connectionThatWaitedForMoreCallsThanIdsAreRememberedIsNotReused() throws Exception {
    CompletableFuture<Long> result = new CompletableFuture<>();
    vertx.runOnContext(
        on -> {
          TargetConnections connections = newConnections();
          connections.acquire(
              true,
              false,
              waiting ->
                  connections.acquire(
                      true,
                      true,
                      used -> {
                        connections.release(waiting);
                        connections.release(used);
                        acquireBehindOtherCalls(connections, result);
                      },
                      result::completeExceptionally),
              result::completeExceptionally);
        });
    assertEquals(3, result.get(WAIT_S, TimeUnit.SECONDS));
  }

  private static void acquireBehindOtherCalls(
      TargetConnections connections, CompletableFuture<Long> result) {
    connections.acquire(true, false, connections::release, result::completeExceptionally);
    connections.acquire(
        true,
        false,
        held ->
            connections.acquire(
                true, false, last -> result.complete(last.number()), result::completeExceptionally),
        result::completeExceptionally);
  }

  @Test
  void repeatedCallGetsNewConnection() throws Exception {
    assertEquals(List.of(1L, 2L, 3L), numbersOf(3, true));
  }
}
