package org.acaciapond.node.admin;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.acaciapond.common.lifecycle.ManagedService;
import org.acaciapond.config.snapshot.Snapshot;
import org.acaciapond.config.snapshot.SnapshotHolder;
import org.acaciapond.node.membership.LocalTarget;
import org.acaciapond.node.membership.TargetException;
import org.acaciapond.node.telemetry.NodeMetrics;

/** HTTP server on the loopback address for health, status, metrics and target announcements. */
public final class AdminServer implements ManagedService {

  private static final long MAX_BODY_BYTES = 16 * 1024;
  private static final int BAD_REQUEST = 400;

  private final SnapshotHolder holder;
  private final LocalTarget localTarget;
  private final HttpServer server;
  private final NodeMetrics metrics;
  private final Consumer<JsonObject> requestPathStatus;
  private final Supplier<Optional<String>> waitingFor;

  /**
   * Creates a server.
   *
   * @param requestPathStatus adds the state of the request path to the status document
   * @param waitingFor describes what a node that is not ready waits for
   */
  public AdminServer(
      Vertx vertx,
      SnapshotHolder holder,
      LocalTarget localTarget,
      int port,
      NodeMetrics metrics,
      Consumer<JsonObject> requestPathStatus,
      Supplier<Optional<String>> waitingFor) {
    this.waitingFor = waitingFor;
    this.metrics = metrics;
    this.requestPathStatus = requestPathStatus;
    this.holder = holder;
    this.localTarget = localTarget;
    Router router = Router.router(vertx);
    router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
    router.get("/live").handler(context -> context.response().end());
    router.get("/ready").handler(this::handleReady);
    router.get("/status").handler(this::handleStatus);
    router.get("/metrics").handler(this::handleMetrics);
    router.put("/target").handler(this::handleAnnouncement);
    this.server =
        vertx
            .createHttpServer(new HttpServerOptions().setHost("127.0.0.1").setPort(port))
            .requestHandler(router);
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

  /** Returns the port of the server. */
  public int port() {
    return server.actualPort();
  }

  private void handleReady(RoutingContext context) {
    boolean ready = holder.current().version().sequence() > 0;
    context.response().setStatusCode(ready ? 200 : 503).end(ready ? "ready\n" : notReadyMessage());
  }

  private String notReadyMessage() {
    return "no configuration is in force yet"
        + waitingFor.get().map(what -> "; waiting for " + what).orElse("")
        + "\n";
  }

  private void handleMetrics(RoutingContext context) {
    context
        .response()
        .putHeader("content-type", metrics.contentType())
        .end(Buffer.buffer(metrics.text()));
  }

  private void handleStatus(RoutingContext context) {
    Snapshot snapshot = holder.current();
    JsonObject status =
        new JsonObject()
            .put("epoch", snapshot.version().epoch())
            .put("sequence", snapshot.version().sequence())
            .put("digest", snapshot.version().digest());
    requestPathStatus.accept(status);
    context.response().end(status.toBuffer());
  }

  private void handleAnnouncement(RoutingContext context) {
    try {
      localTarget.announce(parseAnnouncement(context));
    } catch (TargetException e) {
      context
          .response()
          .setStatusCode(BAD_REQUEST)
          .end(
              new JsonObject()
                  .put("code", e.code().name())
                  .put("message", e.getMessage())
                  .encode());
      return;
    }
    context.response().setStatusCode(204).end();
  }

  private static LocalTarget.Announcement parseAnnouncement(RoutingContext context) {
    try {
      JsonObject body = context.body().asJsonObject();
      Integer port = body == null ? null : body.getInteger("port");
      // getString() would convert a number to a string.
      if (body == null || port == null || !(body.getValue("version") instanceof String version)) {
        throw new TargetException("the announcement needs version and port", null);
      }
      int weight = body.getInteger("weight", 1);
      return new LocalTarget.Announcement(version, port, weight, body.getBoolean("leaving", false));
    } catch (DecodeException | ClassCastException | NullPointerException e) {
      throw new TargetException("the announcement is malformed", e);
    }
  }
}
