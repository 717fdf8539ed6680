package org.acaciapond.http;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.impl.NetSocketInternal;
import java.util.function.Consumer;
import org.acaciapond.common.lifecycle.ManagedService;
import org.jspecify.annotations.Nullable;

/** TCP server on one address; all its connections run on one event loop. */
public final class SocketServer implements ManagedService {

  private final Vertx vertx;
  private final String host;
  private final int port;
  private final int receiveBufferBytes;
  private final Consumer<NetSocketInternal> onSocket;
  private @Nullable NetServer server;

  /** Creates a server; it accepts connections after {@link #start()}. */
  public SocketServer(Vertx vertx, String host, int port, Consumer<NetSocketInternal> onSocket) {
    this(vertx, host, port, NetServerOptions.DEFAULT_RECEIVE_BUFFER_SIZE, onSocket);
  }

  /**
   * Creates a server.
   *
   * @param vertx event loops
   * @param host address to listen on
   * @param port port to listen on, 0 for any
   * @param receiveBufferBytes bytes that the system keeps for a connection until they are read
   * @param onSocket receives the connections
   */
  SocketServer(
      Vertx vertx,
      String host,
      int port,
      int receiveBufferBytes,
      Consumer<NetSocketInternal> onSocket) {
    this.receiveBufferBytes = receiveBufferBytes;
    this.vertx = vertx;
    this.host = host;
    this.port = port;
    this.onSocket = onSocket;
  }

  @Override
  public Uni<Void> start() {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              NetServer created =
                  vertx.createNetServer(
                      new NetServerOptions()
                          .setHost(host)
                          .setPort(port)
                          .setReceiveBufferSize(receiveBufferBytes)
                          .setReuseAddress(true));
              server = created;
              created.connectHandler(socket -> onSocket.accept((NetSocketInternal) socket));
              created.listen().onSuccess(done -> emitter.complete(null)).onFailure(emitter::fail);
            });
  }

  @Override
  public Uni<Void> stop() {
    NetServer running = server;
    if (running == null) {
      return Uni.createFrom().voidItem();
    }
    return Uni.createFrom()
        .emitter(emitter -> running.close().onComplete(done -> emitter.complete(null)));
  }

  /** Returns the port in use. */
  public int port() {
    NetServer running = server;
    return running == null ? port : running.actualPort();
  }
}
