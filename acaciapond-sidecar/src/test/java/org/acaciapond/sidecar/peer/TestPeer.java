package org.acaciapond.sidecar.peer;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.impl.NetSocketInternal;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.mesh.peer.PeerMessage;
import org.acaciapond.sidecar.TestMachine;

/** Test client or server that speaks the protocol between nodes on one connection. */
final class TestPeer {

  private static final int TIMEOUT_S = 20;

  private final Vertx vertx;
  private final BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();
  private final CompletableFuture<PeerSocket> socket = new CompletableFuture<>();

  TestPeer(Vertx vertx) {
    this.vertx = vertx;
  }

  /** Connects to a node. */
  void connect(int port) {
    vertx
        .createNetClient(new NetClientOptions())
        .connect(port, TestMachine.HOST)
        .onSuccess(opened -> open((NetSocketInternal) opened))
        .onFailure(socket::completeExceptionally);
  }

  /** Accepts the connection of a node and returns the port. */
  int listen() {
    return vertx
        .createNetServer(new NetServerOptions().setHost(TestMachine.HOST))
        .connectHandler(accepted -> open((NetSocketInternal) accepted))
        .listen(0)
        .toCompletionStage()
        .toCompletableFuture()
        .join()
        .actualPort();
  }

  private void open(NetSocketInternal opened) {
    socket.complete(
        new PeerSocket(
            opened,
            TimeSource.system(),
            (from, message) -> received.add(message),
            closed -> {},
            problem -> {}));
  }

  /** Sends a message; returns when it is written. */
  void send(PeerMessage message) {
    PeerSocket opened = socket.orTimeout(TIMEOUT_S, TimeUnit.SECONDS).join();
    CompletableFuture<Void> written = new CompletableFuture<>();
    vertx.runOnContext(
        on -> {
          opened.send(message);
          written.complete(null);
        });
    written.orTimeout(TIMEOUT_S, TimeUnit.SECONDS).join();
  }

  /** Returns the next message of a type, or null if none arrives in time. */
  <T extends PeerMessage> T await(Class<T> type, int timeoutMs) throws InterruptedException {
    long endNanos = System.nanoTime() + timeoutMs * 1_000_000L;
    while (true) {
      PeerMessage next = received.poll(endNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
      if (next == null || type.isInstance(next)) {
        return type.cast(next);
      }
    }
  }
}
