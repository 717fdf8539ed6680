package org.acaciapond.protocol.transport;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import java.util.function.Consumer;
import org.acaciapond.common.lifecycle.ManagedService;
import org.acaciapond.protocol.codec.CodecRegistry;
import org.acaciapond.protocol.codec.ProtocolErrorCode;
import org.acaciapond.protocol.codec.ProtocolException;

/** Listener for, and maker of, connections between nodes. */
public final class PeerTransport implements ManagedService {

  private static final int CONNECT_TIMEOUT_MS = 1_000;

  private final CodecRegistry codecs;
  private final PeerAddress listenAddress;
  private final Consumer<PeerConnection> acceptor;
  private final TransportCounters counters = new TransportCounters();
  private final NetServer server;
  private final NetClient client;

  /**
   * Creates a transport.
   *
   * @param vertx event loops to use
   * @param codecs messages that it understands
   * @param listenAddress address to listen on
   * @param acceptor receives each accepted connection and registers for its messages
   */
  public PeerTransport(
      Vertx vertx,
      CodecRegistry codecs,
      PeerAddress listenAddress,
      Consumer<PeerConnection> acceptor) {
    this.codecs = codecs;
    this.listenAddress = listenAddress;
    this.acceptor = acceptor;
    this.server =
        vertx.createNetServer(
            new NetServerOptions().setHost(listenAddress.ip()).setPort(listenAddress.port()));
    this.client =
        vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS));
  }

  @Override
  public Uni<Void> start() {
    server.connectHandler(
        socket -> acceptor.accept(new SocketPeerConnection(socket, codecs, counters)));
    return Uni.createFrom()
        .completionStage(() -> server.listen().toCompletionStage())
        .replaceWithVoid();
  }

  @Override
  public Uni<Void> stop() {
    return Uni.createFrom()
        .completionStage(() -> server.close().compose(v -> client.close()).toCompletionStage());
  }

  /** Connects to another node. */
  public Uni<PeerConnection> connect(PeerAddress address) {
    return Uni.createFrom()
        .completionStage(() -> client.connect(address.port(), address.ip()).toCompletionStage())
        .onFailure()
        .transform(
            e ->
                new ProtocolException(
                    ProtocolErrorCode.CONNECT_FAILED, "cannot connect to " + address, e))
        .map(socket -> new SocketPeerConnection(socket, codecs, counters));
  }

  /** Returns the address that it listens on; the port is the actual one once started. */
  public PeerAddress address() {
    int port = listenAddress.port() == 0 ? server.actualPort() : listenAddress.port();
    return new PeerAddress(listenAddress.ip(), port);
  }

  /** Returns the counters of all its connections. */
  public TransportCounters counters() {
    return counters;
  }
}
