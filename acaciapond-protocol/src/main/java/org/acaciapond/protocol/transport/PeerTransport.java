package org.acaciapond.protocol.transport;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.http.ClientAuth;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.PemTrustOptions;
import io.vertx.core.net.SSLOptions;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.List;
import java.util.function.Consumer;
import org.acaciapond.common.lifecycle.ManagedService;
import org.acaciapond.protocol.codec.CodecRegistry;
import org.acaciapond.protocol.codec.ProtocolErrorCode;
import org.acaciapond.protocol.codec.ProtocolException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Transport that accepts and opens connections between nodes. */
public final class PeerTransport implements ManagedService {

  private static final Logger LOG = LogManager.getLogger(PeerTransport.class);
  private static final int CONNECT_TIMEOUT_MS = 1_000;

  private final CodecRegistry codecs;
  private final PeerAddress listenAddress;
  private final Consumer<PeerConnection> acceptor;
  private final TransportCounters counters = new TransportCounters();
  private final Vertx vertx;
  private final TransportOptions options;
  private final NetServer server;
  private final NetClient client;
  private long tlsTimerId = -1;
  private FileTime tlsModifiedAt = FileTime.fromMillis(0);

  /**
   * Creates a transport without TLS.
   *
   * @param vertx Vert.x instance whose event loops are used
   * @param codecs codecs of the messages that the transport understands
   * @param listenAddress address to listen on
   * @param acceptor callback that receives each accepted connection and sets its message handler
   */
  public PeerTransport(
      Vertx vertx,
      CodecRegistry codecs,
      PeerAddress listenAddress,
      Consumer<PeerConnection> acceptor) {
    this(vertx, codecs, listenAddress, acceptor, TransportOptions.DEFAULTS);
  }

  /**
   * Creates a transport.
   *
   * @param vertx Vert.x instance whose event loops are used
   * @param codecs codecs of the messages that the transport understands
   * @param listenAddress address to listen on
   * @param acceptor callback that receives each accepted connection and sets its message handler
   * @param options limits and TLS files
   */
  public PeerTransport(
      Vertx vertx,
      CodecRegistry codecs,
      PeerAddress listenAddress,
      Consumer<PeerConnection> acceptor,
      TransportOptions options) {
    this.vertx = vertx;
    this.codecs = codecs;
    this.listenAddress = listenAddress;
    this.acceptor = acceptor;
    this.options = options;
    NetServerOptions serverOptions =
        new NetServerOptions().setHost(listenAddress.ip()).setPort(listenAddress.port());
    NetClientOptions clientOptions = new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS);
    if (options.tls() != null) {
      serverOptions
          .setSsl(true)
          .setKeyCertOptions(keyCertOptions(options.tls()))
          .setTrustOptions(trustOptions(options.tls()))
          .setClientAuth(ClientAuth.REQUIRED);
      // Nodes connect by IP address and trust a private authority, so host names are not verified.
      clientOptions
          .setSsl(true)
          .setKeyCertOptions(keyCertOptions(options.tls()))
          .setTrustOptions(trustOptions(options.tls()))
          .setHostnameVerificationAlgorithm("");
    }
    this.server = vertx.createNetServer(serverOptions);
    this.client = vertx.createNetClient(clientOptions);
  }

  private static PemKeyCertOptions keyCertOptions(TlsFiles files) {
    return new PemKeyCertOptions().setKeyPath(files.keyPath()).setCertPath(files.certificatePath());
  }

  private static PemTrustOptions trustOptions(TlsFiles files) {
    return new PemTrustOptions().addCertPath(files.trustPath());
  }

  @Override
  public Uni<Void> start() {
    server.connectHandler(
        socket ->
            acceptor.accept(new SocketPeerConnection(vertx, socket, codecs, counters, options)));
    if (options.tls() != null) {
      tlsModifiedAt = readLastModified(options.tls());
      tlsTimerId = vertx.setPeriodic(options.tlsReloadIntervalMs(), id -> reloadTlsIfChanged());
    }
    return Uni.createFrom()
        .completionStage(() -> server.listen().toCompletionStage())
        .onFailure()
        .transform(
            e -> new ProtocolException(listenErrorCode(), "cannot open the peer listener: " + e, e))
        .replaceWithVoid();
  }

  private ProtocolErrorCode listenErrorCode() {
    return options.tls() == null
        ? ProtocolErrorCode.CONNECT_FAILED
        : ProtocolErrorCode.TLS_FILES_INVALID;
  }

  private void reloadTlsIfChanged() {
    TlsFiles files = options.tls();
    if (files == null) {
      return;
    }
    FileTime modifiedAt = readLastModified(files);
    if (modifiedAt.equals(tlsModifiedAt)) {
      return;
    }
    tlsModifiedAt = modifiedAt;
    reloadTls()
        .subscribe()
        .with(
            ignored -> LOG.info("TLS files reloaded"),
            error -> LOG.warn("Keeping the old TLS files", error));
  }

  private static FileTime readLastModified(TlsFiles files) {
    FileTime newest = FileTime.fromMillis(0);
    for (String path : List.of(files.keyPath(), files.certificatePath(), files.trustPath())) {
      try {
        FileTime modifiedAt = Files.getLastModifiedTime(Path.of(path));
        newest = modifiedAt.compareTo(newest) > 0 ? modifiedAt : newest;
      } catch (IOException e) {
        LOG.debug("Cannot read the modification time of {}", path, e);
      }
    }
    return newest;
  }

  /** Reloads the TLS files for new connections; on failure, the old ones stay in use. */
  public Uni<Void> reloadTls() {
    TlsFiles files = options.tls();
    if (files == null) {
      return Uni.createFrom().voidItem();
    }
    // Forced, because an update that names the same paths is otherwise ignored.
    return Uni.createFrom()
        .completionStage(
            () ->
                server
                    .updateSSLOptions(sslOptions(files), true)
                    .compose(done -> client.updateSSLOptions(sslOptions(files), true))
                    .toCompletionStage())
        .onFailure()
        .transform(
            e ->
                new ProtocolException(
                    ProtocolErrorCode.TLS_FILES_INVALID, "cannot load the TLS files", e))
        .replaceWithVoid();
  }

  private static SSLOptions sslOptions(TlsFiles files) {
    return new SSLOptions()
        .setKeyCertOptions(keyCertOptions(files))
        .setTrustOptions(trustOptions(files));
  }

  @Override
  public Uni<Void> stop() {
    vertx.cancelTimer(tlsTimerId);
    return Uni.createFrom()
        .completionStage(() -> server.close().compose(v -> client.close()).toCompletionStage());
  }

  /** Opens a connection to another node. */
  public Uni<PeerConnection> connect(PeerAddress address) {
    return Uni.createFrom()
        .completionStage(() -> client.connect(address.port(), address.ip()).toCompletionStage())
        .onFailure()
        .transform(
            e ->
                new ProtocolException(
                    ProtocolErrorCode.CONNECT_FAILED, "cannot connect to " + address, e))
        .map(socket -> new SocketPeerConnection(vertx, socket, codecs, counters, options));
  }

  /** Returns the listen address; once started, it has the actual port. */
  public PeerAddress address() {
    int port = listenAddress.port() == 0 ? server.actualPort() : listenAddress.port();
    return new PeerAddress(listenAddress.ip(), port);
  }

  /** Returns whether the listener is open. */
  public boolean isListening() {
    return server.actualPort() > 0;
  }

  /** Returns the counters of all connections of this transport. */
  public TransportCounters counters() {
    return counters;
  }
}
