package org.acaciapond.platform;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.acaciapond.common.lifecycle.ManagedService;
import org.jspecify.annotations.Nullable;

/** HTTP server of the stand-in. */
public final class PlatformServer implements ManagedService {

  private static final long MAX_BODY_BYTES = 16L * 1024 * 1024;

  private final TableStore table = new TableStore();
  private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
  private final HttpServer server;

  /** Creates a server. */
  public PlatformServer(Vertx vertx, String ip, int port) {
    Router router = Router.router(vertx);
    router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
    router.get("/table").handler(this::listRows);
    router.get("/table/:key").handler(this::readRow);
    router.put("/table/:key").handler(this::writeRow);
    router.get("/objects/:digest").handler(this::readObject);
    router.put("/objects/:digest").handler(this::writeObject);
    this.server =
        vertx
            .createHttpServer(new HttpServerOptions().setHost(ip).setPort(port))
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

  /** Returns the port that it listens on. */
  public int port() {
    return server.actualPort();
  }

  private void listRows(RoutingContext context) {
    JsonArray rows = new JsonArray();
    String prefix = context.queryParams().get("prefix");
    table
        .list(prefix == null ? "" : prefix)
        .forEach(
            (key, cell) ->
                rows.add(
                    new JsonObject()
                        .put("key", key)
                        .put("revision", cell.revision())
                        .put("value", cell.value())));
    context.response().end(rows.toBuffer());
  }

  private void readRow(RoutingContext context) {
    table
        .read(context.pathParam("key"))
        .ifPresentOrElse(
            cell ->
                context
                    .response()
                    .putHeader("ETag", "\"" + cell.revision() + "\"")
                    .end(Buffer.buffer(cell.value())),
            () -> context.response().setStatusCode(404).end());
  }

  private void writeRow(RoutingContext context) {
    @Nullable String match = context.request().getHeader("If-Match");
    long expected = match == null ? 0 : Long.parseLong(match.replace("\"", ""));
    long revision =
        table.write(context.pathParam("key"), expected, context.body().buffer().getBytes());
    if (revision == 0) {
      context.response().setStatusCode(412).end();
    } else {
      context.response().setStatusCode(204).putHeader("ETag", "\"" + revision + "\"").end();
    }
  }

  private void readObject(RoutingContext context) {
    byte[] bytes = objects.get(context.pathParam("digest"));
    if (bytes == null) {
      context.response().setStatusCode(404).end();
    } else {
      context.response().end(Buffer.buffer(bytes));
    }
  }

  private void writeObject(RoutingContext context) {
    objects.putIfAbsent(context.pathParam("digest"), context.body().buffer().getBytes());
    context.response().setStatusCode(201).end();
  }
}
