package org.acaciapond.node.proxy;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.config.model.LimitsConfig;
import org.acaciapond.config.model.MeshConfig;
import org.acaciapond.config.model.RouteConfig;
import org.acaciapond.config.model.ServiceConfig;
import org.acaciapond.config.model.VersionConfig;
import org.acaciapond.config.snapshot.Scope;
import org.acaciapond.config.snapshot.Snapshot;
import org.acaciapond.config.snapshot.SnapshotHolder;
import org.acaciapond.config.version.ConfigCodec;
import org.acaciapond.config.version.ConfigVersion;
import org.acaciapond.node.membership.LocalTarget;
import org.acaciapond.routing.call.CallRecord;
import org.acaciapond.routing.target.TargetEndpoint;
import org.acaciapond.routing.target.VersionSplit;

/**
 * Fixture with an outbound node of service {@code front} and any number of targets of {@code back}.
 */
final class ProxyFixture implements AutoCloseable {

  static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final long TIMEOUT_S = 20;

  record Response(int status, MultiMap headers, Buffer body) {}

  final Vertx vertx = Vertx.vertx();
  final RequestPathCounters counters = new RequestPathCounters();
  final ConcurrentLinkedQueue<CallRecord> records = new ConcurrentLinkedQueue<>();
  final List<TargetEndpoint> endpoints = new CopyOnWriteArrayList<>();
  final List<InboundProxy> inbounds = new ArrayList<>();
  final List<LocalTarget> targets = new ArrayList<>();
  final OutboundProxy outbound;
  private final int eventLoops;
  private final HttpClient client =
      vertx.createHttpClient(new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(64));

  ProxyFixture() {
    this(2);
  }

  /** Creates a fixture; with one event loop, all calls share one connection to each node. */
  ProxyFixture(int eventLoops) {
    this.eventLoops = eventLoops;
    outbound =
        new OutboundProxy(
            vertx,
            TimeSource.system(),
            holder("front"),
            service -> List.copyOf(endpoints),
            service -> VersionSplit.only(service.currentVersion()),
            records::add,
            "a",
            0,
            options(),
            counters,
            HopTracer.NONE);
    outbound.start().await().indefinitely();
  }

  private RequestPathOptions options() {
    return new RequestPathOptions(eventLoops, 300, false, true);
  }

  private static SnapshotHolder holder(String ownService) {
    MeshConfig config =
        new MeshConfig(
            List.of(
                service("front", List.of("back"), true),
                service("back", List.of(), false),
                service("stranger", List.of(), false)));
    SnapshotHolder holder = new SnapshotHolder(Snapshot.empty(ownService));
    holder.offer(
        Snapshot.build(
            new ConfigVersion(1, 1, "d"),
            Scope.of(ownService, config),
            config.services().stream().map(ConfigCodec::slice).toList()));
    return holder;
  }

  private static ServiceConfig service(String name, List<String> dependsOn, boolean exposed) {
    return new ServiceConfig(
        name,
        dependsOn,
        exposed,
        List.of(
            new RouteConfig("/safe", true, 8_000, 1, null),
            new RouteConfig("/once", false, 8_000, 1, null),
            new RouteConfig("/quick", false, 300, 1, null)),
        new LimitsConfig(16, 16, 100, MAX_BODY_BYTES),
        List.of(new VersionConfig("v1")),
        "v1",
        null);
  }

  /** Adds a target with its inbound node and returns the port of the node. */
  int addTarget(Handler<HttpServerRequest> handler) {
    int port =
        await(vertx.createHttpServer().requestHandler(handler).listen(0, "127.0.0.1")).actualPort();
    return addNode(port);
  }

  /** Adds an inbound node with a target port, on which a target may or may not listen. */
  int addNode(int targetPort) {
    return addNode("back", targetPort);
  }

  /** Adds an inbound node of a service and returns its port. */
  int addNode(String service, int targetPort) {
    LocalTarget target = new LocalTarget();
    target.announce(new LocalTarget.Announcement("v1", targetPort, 1, false));
    InboundProxy inbound =
        new InboundProxy(
            vertx,
            TimeSource.system(),
            holder(service),
            target,
            "127.0.0.1",
            0,
            options(),
            counters,
            HopTracer.NONE,
            outbound::newIngressHandler);
    inbound.start().await().indefinitely();
    inbounds.add(inbound);
    targets.add(target);
    addEndpoint(inbound.port());
    return inbound.port();
  }

  void addEndpoint(int port) {
    endpoints.add(
        new TargetEndpoint("h" + endpoints.size(), "127.0.0.1", port, "a", "back", "v1", 1, false));
  }

  Response call(HttpMethod method, String path, Buffer body, String... headers) {
    return await(send(outbound.port(), "back", method, path, body, headers));
  }

  Future<Response> send(
      int port, String host, HttpMethod method, String path, Buffer body, String... headers) {
    RequestOptions options =
        new RequestOptions()
            .setServer(SocketAddress.inetSocketAddress(port, "127.0.0.1"))
            .setHost(host)
            .setPort(port)
            .setMethod(method)
            .setURI(path);
    for (int i = 0; i < headers.length; i += 2) {
      options.putHeader(headers[i], headers[i + 1]);
    }
    return client
        .request(options)
        .compose(request -> body.length() == 0 ? request.send() : request.send(body))
        .compose(
            response ->
                response
                    .body()
                    .map(data -> new Response(response.statusCode(), response.headers(), data)));
  }

  /** Starts a TCP relay that can go silent on its open connections while new ones work. */
  Relay relay(int toPort) {
    return new Relay(toPort);
  }

  final class Relay {
    private final List<NetSocket> open = new CopyOnWriteArrayList<>();
    private volatile boolean blockNewConnections;
    private volatile long delayMs;
    final int port;

    Relay(int toPort) {
      port =
          await(
                  vertx
                      .createNetServer()
                      .connectHandler(
                          clientSocket -> {
                            clientSocket.pause();
                            if (!blockNewConnections) {
                              connectAfterDelay(toPort, clientSocket);
                            }
                          })
                      .listen(0, "127.0.0.1"))
              .actualPort();
    }

    private void connectAfterDelay(int toPort, NetSocket clientSocket) {
      vertx.setTimer(
          1 + delayMs,
          id ->
              vertx
                  .createNetClient()
                  .connect(toPort, "127.0.0.1")
                  .onSuccess(serverSocket -> connectSockets(clientSocket, serverSocket)));
    }

    /** Sets whether new connections are accepted but never forwarded. */
    void blockNewConnections(boolean on) {
      blockNewConnections = on;
    }

    /** Sets the delay before a new connection is forwarded. */
    void delayMs(long ms) {
      delayMs = ms;
    }

    private void connectSockets(NetSocket clientSocket, NetSocket serverSocket) {
      open.add(clientSocket);
      open.add(serverSocket);
      clientSocket.handler(serverSocket::write);
      serverSocket.handler(clientSocket::write);
      clientSocket.closeHandler(ignored -> serverSocket.close());
      serverSocket.closeHandler(ignored -> clientSocket.close());
      clientSocket.resume();
    }

    void silenceConnections() {
      open.forEach(socket -> socket.handler(data -> {}));
    }

    void closeConnections() {
      open.forEach(NetSocket::close);
    }
  }

  static <T> T await(Future<T> future) {
    try {
      return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_S, TimeUnit.SECONDS);
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void close() {
    await(vertx.close());
  }
}
