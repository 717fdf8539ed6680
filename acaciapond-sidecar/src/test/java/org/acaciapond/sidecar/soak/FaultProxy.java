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

/** Loopback proxy that passes, delays, cuts or silences connections. */
final class FaultProxy {

  private static final int DELAY_MS = 150;

  /** What happens to bytes. */
  enum Mode {
    /** They are passed on. */
    PASS,
    /** They are passed on later. */
    DELAY,
    /** Connections that carry any fall silent for good, both ways. */
    SILENT,
    /** Connections that carry any lose the way back for good. */
    ONE_WAY,
    /** Connections are reset, and new ones too. */
    RESET
  }

  private final Vertx vertx;
  private final NetClient client;
  private final NetServer server;
  private final int toPort;
  private final Set<Pair> pairs = new HashSet<>();
  private volatile Mode mode = Mode.PASS;

  /** Both sides of one connection. */
  private static final class Pair {
    final NetSocket caller;
    final NetSocket called;
    boolean silentForth;
    boolean silentBack;

    Pair(NetSocket caller, NetSocket called) {
      this.caller = caller;
      this.called = called;
    }

    void close() {
      caller.close();
      called.close();
    }
  }

  FaultProxy(Vertx vertx, int toPort) {
    this.vertx = vertx;
    this.toPort = toPort;
    // Closing resets instead of ending in order.
    this.client = vertx.createNetClient(new NetClientOptions().setSoLinger(0));
    this.server = vertx.createNetServer(new NetServerOptions().setHost("127.0.0.1").setSoLinger(0));
  }

  int start() {
    server.connectHandler(this::accept);
    return server.listen(0).toCompletionStage().toCompletableFuture().join().actualPort();
  }

  void mode(Mode next) {
    mode = next;
    if (next == Mode.RESET) {
      vertx.runOnContext(on -> Set.copyOf(pairs).forEach(Pair::close));
    }
  }

  private void accept(NetSocket caller) {
    if (mode == Mode.RESET) {
      caller.close();
      return;
    }
    caller.pause();
    client
        .connect(toPort, "127.0.0.1")
        .onFailure(error -> caller.close())
        .onSuccess(called -> join(new Pair(caller, called)));
  }

  private void join(Pair pair) {
    pairs.add(pair);
    pair.caller.exceptionHandler(error -> pair.close());
    pair.called.exceptionHandler(error -> pair.close());
    pair.caller.closeHandler(done -> closed(pair));
    pair.called.closeHandler(done -> closed(pair));
    pair.caller.handler(
        bytes -> {
          pair.silentForth |= mode == Mode.SILENT;
          pass(pair.silentForth, pair.called, bytes);
        });
    pair.called.handler(
        bytes -> {
          pair.silentBack |= mode == Mode.SILENT || mode == Mode.ONE_WAY;
          pass(pair.silentBack, pair.caller, bytes);
        });
    pair.caller.resume();
  }

  private void pass(boolean silent, NetSocket to, Buffer bytes) {
    if (silent) {
      return;
    }
    if (mode == Mode.DELAY) {
      vertx.setTimer(DELAY_MS, id -> to.write(bytes));
    } else {
      to.write(bytes);
    }
  }

  private void closed(Pair pair) {
    if (pairs.remove(pair)) {
      pair.close();
    }
  }
}
