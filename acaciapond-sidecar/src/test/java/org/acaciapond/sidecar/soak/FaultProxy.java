package org.acaciapond.sidecar.soak;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.HashSet;
import java.util.Set;

/** TCP proxy on loopback that forwards, delays, drops or resets the bytes of connections. */
public final class FaultProxy {

  private static final int DEFAULT_DELAY_MS = 150;

  /** Fault of the proxy. */
  public enum Mode {
    /** Bytes are forwarded. */
    PASS,
    /** Bytes are forwarded after a delay. */
    DELAY,
    /** All bytes of a side are dropped for good from the first ones that it sends in this mode. */
    SILENT,
    /** Like SILENT, but only for bytes from the server. */
    ONE_WAY,
    /** All connections are reset, also new ones. */
    RESET
  }

  private final Vertx vertx;
  private final NetClient client;
  private final NetServer server;
  private final int serverPort;
  private final int delayMs;
  private final Set<Pair> pairs = new HashSet<>();
  private volatile Mode mode = Mode.PASS;

  /** Client and server side of one proxied connection. */
  private static final class Pair {
    final NetSocket clientSide;
    final NetSocket serverSide;
    boolean dropsRequests;
    boolean dropsResponses;

    Pair(NetSocket clientSide, NetSocket serverSide) {
      this.clientSide = clientSide;
      this.serverSide = serverSide;
    }

    void close() {
      clientSide.close();
      serverSide.close();
    }
  }

  FaultProxy(Vertx vertx, int serverPort) {
    this(vertx, serverPort, DEFAULT_DELAY_MS);
  }

  /** Creates a proxy whose mode {@link Mode#DELAY} holds bytes for the given time. */
  public FaultProxy(Vertx vertx, int serverPort, int delayMs) {
    this.vertx = vertx;
    this.delayMs = delayMs;
    this.serverPort = serverPort;
    // With a linger time of 0, closing a socket resets the connection.
    this.client = vertx.createNetClient(new NetClientOptions().setSoLinger(0));
    this.server = vertx.createNetServer(new NetServerOptions().setHost("127.0.0.1").setSoLinger(0));
  }

  /** Starts the proxy and returns its port. */
  public int start() {
    server.connectHandler(this::accept);
    return server.listen(0).toCompletionStage().toCompletableFuture().join().actualPort();
  }

  /** Sets the fault of all connections. */
  public void setMode(Mode next) {
    mode = next;
    if (next == Mode.RESET) {
      vertx.runOnContext(on -> Set.copyOf(pairs).forEach(Pair::close));
    }
  }

  private void accept(NetSocket clientSide) {
    if (mode == Mode.RESET) {
      clientSide.close();
      return;
    }
    clientSide.pause();
    client
        .connect(serverPort, "127.0.0.1")
        .onFailure(error -> clientSide.close())
        .onSuccess(serverSide -> forwardBetween(new Pair(clientSide, serverSide)));
  }

  private void forwardBetween(Pair pair) {
    pairs.add(pair);
    pair.clientSide.exceptionHandler(error -> pair.close());
    pair.serverSide.exceptionHandler(error -> pair.close());
    pair.clientSide.closeHandler(done -> onClosed(pair));
    pair.serverSide.closeHandler(done -> onClosed(pair));
    pair.clientSide.handler(
        bytes -> {
          pair.dropsRequests |= mode == Mode.SILENT;
          forward(pair.dropsRequests, pair.serverSide, bytes);
        });
    pair.serverSide.handler(
        bytes -> {
          pair.dropsResponses |= mode == Mode.SILENT || mode == Mode.ONE_WAY;
          forward(pair.dropsResponses, pair.clientSide, bytes);
        });
    pair.clientSide.resume();
  }

  private void forward(boolean drop, NetSocket to, Buffer bytes) {
    if (drop) {
      return;
    }
    if (mode == Mode.DELAY) {
      vertx.setTimer(delayMs, id -> to.write(bytes));
    } else {
      to.write(bytes);
    }
  }

  private void onClosed(Pair pair) {
    if (pairs.remove(pair)) {
      pair.close();
    }
  }
}
