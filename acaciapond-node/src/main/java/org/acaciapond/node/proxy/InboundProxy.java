package org.acaciapond.node.proxy;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.RequestOptions;
import org.acaciapond.common.lifecycle.ManagedService;
import org.acaciapond.config.model.ServiceConfig;
import org.acaciapond.config.snapshot.Snapshot;
import org.acaciapond.config.snapshot.SnapshotHolder;
import org.acaciapond.node.membership.LocalTarget;

/** Proxy of the calls that other nodes and outside callers make to the own target. */
public final class InboundProxy implements ManagedService {

  private static final int FORBIDDEN = 403;
  private static final int BAD_GATEWAY = 502;
  private static final int UNAVAILABLE = 503;

  private final SnapshotHolder holder;
  private final LocalTarget localTarget;
  private final HttpForwarder forwarder;
  private final HttpServer server;

  /** Creates a proxy. */
  public InboundProxy(
      Vertx vertx, SnapshotHolder holder, LocalTarget localTarget, String ip, int port) {
    this.holder = holder;
    this.localTarget = localTarget;
    this.forwarder = new HttpForwarder(vertx.createHttpClient(new HttpClientOptions()));
    this.server =
        vertx
            .createHttpServer(new HttpServerOptions().setHost(ip).setPort(port))
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
    Snapshot snapshot = holder.current();
    String caller = request.getHeader(MeshHeaders.CALLER);
    if (!isPermitted(snapshot, caller)) {
      HttpForwarder.refuse(
          request, FORBIDDEN, MeshHeaders.OUTCOME_NOT_RUN, "caller not permitted: " + caller);
      return;
    }
    LocalTarget.Announcement target = localTarget.announcement();
    if (target == null || target.leaving()) {
      HttpForwarder.refuse(request, UNAVAILABLE, MeshHeaders.OUTCOME_NOT_RUN, "no target");
      return;
    }
    forwarder
        .forward(
            request,
            new RequestOptions().setHost("127.0.0.1").setPort(target.port()),
            outgoing -> {})
        .compose(
            response -> {
              request.response().putHeader(MeshHeaders.VERSION, target.version());
              return forwarder.answer(request, response);
            })
        .onFailure(
            error ->
                HttpForwarder.refuse(
                    request, BAD_GATEWAY, MeshHeaders.OUTCOME_UNKNOWN, "no answer of the target"));
  }

  private static boolean isPermitted(
      Snapshot snapshot, @org.jspecify.annotations.Nullable String caller) {
    if (caller != null) {
      return snapshot.scope().permittedCallers().contains(caller);
    }
    ServiceConfig own = snapshot.service(snapshot.scope().ownService());
    return own != null && own.exposed();
  }
}
