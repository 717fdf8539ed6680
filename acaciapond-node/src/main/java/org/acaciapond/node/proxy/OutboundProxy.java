package org.acaciapond.node.proxy;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.RequestOptions;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import org.acaciapond.common.lifecycle.ManagedService;
import org.acaciapond.config.model.ServiceConfig;
import org.acaciapond.config.snapshot.SnapshotHolder;
import org.acaciapond.routing.target.TargetDirectory;
import org.acaciapond.routing.target.TargetEndpoint;

/** Proxy of the calls that the own target makes to other services. */
public final class OutboundProxy implements ManagedService {

  private static final int FORBIDDEN = 403;
  private static final int BAD_GATEWAY = 502;
  private static final int UNAVAILABLE = 503;

  private final SnapshotHolder holder;
  private final TargetDirectory directory;
  private final HttpForwarder forwarder;
  private final HttpServer server;

  /** Creates a proxy. */
  public OutboundProxy(Vertx vertx, SnapshotHolder holder, TargetDirectory directory, int port) {
    this.holder = holder;
    this.directory = directory;
    this.forwarder = new HttpForwarder(vertx.createHttpClient(new HttpClientOptions()));
    this.server =
        vertx
            .createHttpServer(new HttpServerOptions().setHost("127.0.0.1").setPort(port))
            .requestHandler(this::onRequest);
  }

  @Override
  public Uni<Void> start() {
    return Uni.createFrom()
        .completionStage(() -> server.listen().toCompletionStage())
        .replaceWithVoid();
  }

  @Override
  public Uni<Void> stop() {
    return Uni.createFrom().completionStage(() -> server.close().toCompletionStage());
  }

  /** Returns the port that it listens on. */
  public int port() {
    return server.actualPort();
  }

  private void onRequest(HttpServerRequest request) {
    String name = serviceName(request);
    ServiceConfig service = holder.current().service(name);
    if (service == null) {
      HttpForwarder.refuse(
          request, FORBIDDEN, MeshHeaders.OUTCOME_NOT_RUN, "service not reachable: " + name);
      return;
    }
    List<TargetEndpoint> targets =
        directory.targets(name).stream()
            .filter(t -> t.version().equals(service.currentVersion()) && !t.leaving())
            .toList();
    if (targets.isEmpty()) {
      HttpForwarder.refuse(
          request, UNAVAILABLE, MeshHeaders.OUTCOME_NOT_RUN, "no target of " + name);
      return;
    }
    TargetEndpoint target = targets.get(ThreadLocalRandom.current().nextInt(targets.size()));
    forwarder
        .forward(
            request,
            new RequestOptions().setHost(target.address()).setPort(target.inboundPort()),
            outgoing ->
                outgoing.putHeader(MeshHeaders.CALLER, holder.current().scope().ownService()))
        .compose(response -> forwarder.answer(request, response))
        .onFailure(
            error ->
                HttpForwarder.refuse(
                    request, BAD_GATEWAY, MeshHeaders.OUTCOME_UNKNOWN, "no answer from " + name));
  }

  private static String serviceName(HttpServerRequest request) {
    String host = String.valueOf(request.getHeader("Host"));
    int colon = host.indexOf(':');
    return colon < 0 ? host : host.substring(0, colon);
  }
}
