package org.acaciapond.platform;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.acaciapond.common.lifecycle.ManagedService;
import org.acaciapond.common.time.TimeSource;
import org.jspecify.annotations.Nullable;

/**
 * HTTP server with an in-memory table service and object store.
 *
 * <p>Rate limits apply first, then injected faults, and then the request is executed; {@code
 * /faults} and {@code /stats} have neither limits nor faults.
 */
public final class PlatformServer implements ManagedService {

  private static final long MAX_ROW_BYTES = 64L * 1024;

  /** A text has at most 10,000,000 bytes, and escaping it as JSON may double its size. */
  private static final long MAX_OBJECT_BYTES = 24L * 1024 * 1024;

  private static final long MAX_FAULTS_BYTES = 4L * 1024;
  private static final int MAX_KEY_CHARS = 256;
  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int NO_CONTENT = 204;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int PRECONDITION_FAILED = 412;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;
  private static final String RETRY_AFTER_SECONDS = "1";
  private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");
  private static final Pattern ENTITY_TAG = Pattern.compile("\"([1-9][0-9]{0,17})\"");

  /** Operation of a request, executed unless a limit or a fault prevents it. */
  private interface Operation {
    Response run(RoutingContext context);
  }

  /** Response of an operation. */
  private record Response(int status, @Nullable String entityTag, Buffer body) {

    static Response of(int status) {
      return new Response(status, null, Buffer.buffer());
    }
  }

  private final Vertx vertx;
  private final TableStore table = new TableStore();
  private final ObjectStore objects = new ObjectStore();
  private final FaultInjector tableFaults = new FaultInjector();
  private final FaultInjector objectFaults = new FaultInjector();
  private final PlatformStats stats = new PlatformStats();
  private final RateLimiter readLimiter;
  private final RateLimiter writeLimiter;
  private final HttpServer server;

  /** Creates a server with the default limits. */
  public PlatformServer(Vertx vertx, String ip, int port) {
    this(vertx, TimeSource.system(), ip, port, PlatformLimits.DEFAULT);
  }

  /** Creates a server. */
  public PlatformServer(Vertx vertx, TimeSource time, String ip, int port, PlatformLimits limits) {
    this.vertx = vertx;
    this.readLimiter = new RateLimiter(time, limits.readsPerSecond());
    this.writeLimiter = new RateLimiter(time, limits.writesPerSecond());
    this.server =
        vertx
            .createHttpServer(new HttpServerOptions().setHost(ip).setPort(port))
            .requestHandler(createRouter());
  }

  private Router createRouter() {
    Router router = Router.router(vertx);
    router.route().failureHandler(PlatformServer::sendFailure);
    router.get("/table").handler(context -> read(context, tableFaults, this::listRows));
    router.get("/table/:key").handler(context -> read(context, tableFaults, this::readRow));
    router
        .put("/table/:key")
        .handler(createBodyHandler(MAX_ROW_BYTES))
        .handler(context -> write(context, tableFaults, this::writeRow));
    router
        .get("/objects/:digest")
        .handler(context -> read(context, objectFaults, this::readObject));
    router
        .put("/objects/:digest")
        .handler(createBodyHandler(MAX_OBJECT_BYTES))
        .handler(context -> write(context, objectFaults, this::writeObject));
    router.get("/stats").handler(context -> context.response().end(stats.toJson().toBuffer()));
    router.get("/faults").handler(this::readFaults);
    router.put("/faults").handler(createBodyHandler(MAX_FAULTS_BYTES)).handler(this::writeFaults);
    return router;
  }

  /** Responds to a request that a handler rejected, for example because its body is too large. */
  private static void sendFailure(RoutingContext context) {
    int status = context.statusCode();
    boolean malformed = status < BAD_REQUEST || context.failure() instanceof RuntimeException;
    if (!context.response().ended()) {
      context.response().setStatusCode(malformed ? BAD_REQUEST : status).end();
    }
  }

  private static BodyHandler createBodyHandler(long limitBytes) {
    return BodyHandler.create(false).setBodyLimit(limitBytes);
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

  /** Returns the port that the server listens on. */
  public int port() {
    return server.actualPort();
  }

  /** Returns the counters. */
  public PlatformStats stats() {
    return stats;
  }

  private void read(RoutingContext context, FaultInjector faults, Operation operation) {
    if (readLimiter.tryAcquire()) {
      stats.countRead();
      executeWithFault(context, faults.drawFault(), operation);
    } else {
      sendRateLimited(context);
    }
  }

  private void write(RoutingContext context, FaultInjector faults, Operation operation) {
    if (writeLimiter.tryAcquire()) {
      stats.countWrite();
      executeWithFault(context, faults.drawFault(), operation);
    } else {
      sendRateLimited(context);
    }
  }

  private void sendRateLimited(RoutingContext context) {
    stats.countRefused();
    context
        .response()
        .setStatusCode(TOO_MANY_REQUESTS)
        .putHeader("Retry-After", RETRY_AFTER_SECONDS)
        .end();
  }

  private void executeWithFault(RoutingContext context, FaultPlan fault, Operation operation) {
    switch (fault.mode()) {
      case DOWN -> context.response().setStatusCode(UNAVAILABLE).end();
      case SLOW -> runAfter(fault.delayMs(), () -> sendResponse(context, operation.run(context)));
      case LOSE_ANSWERS -> {
        operation.run(context);
        runAfter(fault.delayMs(), () -> context.request().connection().close());
      }
      default -> sendResponse(context, operation.run(context));
    }
  }

  private void runAfter(long delayMs, Runnable task) {
    if (delayMs == 0) {
      task.run();
    } else {
      vertx.setTimer(delayMs, id -> task.run());
    }
  }

  private static void sendResponse(RoutingContext context, Response response) {
    if (context.response().closed()) {
      return;
    }
    if (response.entityTag() != null) {
      context.response().putHeader("ETag", response.entityTag());
    }
    context.response().setStatusCode(response.status()).end(response.body());
  }

  private Response listRows(RoutingContext context) {
    String prefix = context.queryParams().get("prefix");
    if (prefix != null && prefix.length() > MAX_KEY_CHARS) {
      return Response.of(BAD_REQUEST);
    }
    JsonArray rows = new JsonArray();
    table.list(prefix == null ? "" : prefix).forEach((key, cell) -> rows.add(toJson(key, cell)));
    return new Response(OK, null, rows.toBuffer());
  }

  private static JsonObject toJson(String key, TableStore.Cell cell) {
    return new JsonObject()
        .put("key", key)
        .put("revision", cell.revision())
        .put("value", cell.value());
  }

  private Response readRow(RoutingContext context) {
    return table
        .read(context.pathParam("key"))
        .map(cell -> new Response(OK, entityTag(cell.revision()), Buffer.buffer(cell.value())))
        .orElse(Response.of(NOT_FOUND));
  }

  private Response writeRow(RoutingContext context) {
    String key = context.pathParam("key");
    OptionalLong expected = expectedRevision(context);
    if (expected.isEmpty() || key.length() > MAX_KEY_CHARS) {
      return Response.of(BAD_REQUEST);
    }
    long revision = table.write(key, expected.getAsLong(), bodyBytes(context));
    if (revision == 0) {
      stats.countConflict();
      return Response.of(PRECONDITION_FAILED);
    }
    return new Response(NO_CONTENT, entityTag(revision), Buffer.buffer());
  }

  /** Returns the expected revision of a write; empty unless it has exactly one valid condition. */
  private static OptionalLong expectedRevision(RoutingContext context) {
    String match = context.request().getHeader("If-Match");
    String noneMatch = context.request().getHeader("If-None-Match");
    if (match == null && "*".equals(noneMatch)) {
      return OptionalLong.of(0);
    }
    if (match == null || noneMatch != null) {
      return OptionalLong.empty();
    }
    Matcher tag = ENTITY_TAG.matcher(match);
    return tag.matches() ? OptionalLong.of(Long.parseLong(tag.group(1))) : OptionalLong.empty();
  }

  private static String entityTag(long revision) {
    return "\"" + revision + "\"";
  }

  private static byte[] bodyBytes(RoutingContext context) {
    Buffer body = context.body().buffer();
    return body == null ? new byte[0] : body.getBytes();
  }

  private Response readObject(RoutingContext context) {
    String digest = context.pathParam("digest");
    if (!DIGEST.matcher(digest).matches()) {
      return Response.of(BAD_REQUEST);
    }
    return objects
        .read(digest)
        .map(bytes -> new Response(OK, null, Buffer.buffer(bytes)))
        .orElse(Response.of(NOT_FOUND));
  }

  private Response writeObject(RoutingContext context) {
    boolean stored = objects.write(context.pathParam("digest"), bodyBytes(context));
    return Response.of(stored ? CREATED : BAD_REQUEST);
  }

  private void readFaults(RoutingContext context) {
    context
        .response()
        .end(
            new JsonObject()
                .put("table", tableFaults.plan().toJson())
                .put("objects", objectFaults.plan().toJson())
                .toBuffer());
  }

  /** Sets the fault of the store in the field {@code store}, or of both stores if it is absent. */
  private void writeFaults(RoutingContext context) {
    try {
      JsonObject json = new JsonObject(Buffer.buffer(bodyBytes(context)));
      FaultPlan plan = FaultPlan.ofJson(json);
      String store = json.getString("store", "all");
      switch (store) {
        case "table" -> tableFaults.setPlan(plan);
        case "objects" -> objectFaults.setPlan(plan);
        case "all" -> {
          tableFaults.setPlan(plan);
          objectFaults.setPlan(plan);
        }
        default -> throw new IllegalArgumentException("unknown store: " + store);
      }
      context.response().setStatusCode(NO_CONTENT).end();
    } catch (DecodeException | IllegalArgumentException | ClassCastException e) {
      context.response().setStatusCode(BAD_REQUEST).end(String.valueOf(e.getMessage()));
    }
  }
}
