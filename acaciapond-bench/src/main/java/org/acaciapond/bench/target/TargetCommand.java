package org.acaciapond.bench.target;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.util.concurrent.ThreadLocalRandom;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Command {@code target}, which runs an HTTP target and announces it to the node of its host. */
public final class TargetCommand {

  private static final int STATUS_SERVER_ERROR = 500;

  private TargetCommand() {}

  /** Runs the target until the process is terminated. */
  public static void run(String[] args) {
    OptionParser parser = new OptionParser();
    OptionSpec<Integer> port = addIntegerOption(parser, "port", 0);
    OptionSpec<Integer> adminPort = addIntegerOption(parser, "admin-port", 0);
    OptionSpec<Integer> errorPercent = addIntegerOption(parser, "error-percent", 0);
    OptionSpec<Integer> latencyMs = addIntegerOption(parser, "latency-ms", 0);
    OptionSpec<String> version = parser.accepts("version").withRequiredArg().defaultsTo("v1");
    OptionSet options = parser.parse(args);
    Vertx vertx = Vertx.vertx();
    int errors = options.valueOf(errorPercent);
    int delayMs = options.valueOf(latencyMs);
    String name = options.valueOf(version);
    vertx
        .createHttpServer()
        .requestHandler(request -> respondDelayed(vertx, delayMs, request, name, errors))
        .listen(options.valueOf(port), "127.0.0.1")
        .compose(server -> announce(vertx, options.valueOf(adminPort), name, server.actualPort()))
        .onFailure(error -> System.exit(1));
  }

  private static OptionSpec<Integer> addIntegerOption(
      OptionParser parser, String name, int defaultValue) {
    return parser.accepts(name).withRequiredArg().ofType(Integer.class).defaultsTo(defaultValue);
  }

  private static void respondDelayed(
      Vertx vertx, int delayMs, HttpServerRequest request, String version, int errorPercent) {
    if (delayMs == 0) {
      respond(request, version, errorPercent);
    } else {
      vertx.setTimer(delayMs, id -> respond(request, version, errorPercent));
    }
  }

  private static void respond(HttpServerRequest request, String version, int errorPercent) {
    boolean failed = ThreadLocalRandom.current().nextInt(100) < errorPercent;
    ExchangeId.addToResponse(request);
    request.response().setStatusCode(failed ? STATUS_SERVER_ERROR : 200).end(version + "\n");
  }

  private static io.vertx.core.Future<Void> announce(
      Vertx vertx, int adminPort, String version, int port) {
    return vertx
        .createHttpClient()
        .request(io.vertx.core.http.HttpMethod.PUT, adminPort, "127.0.0.1", "/target")
        .compose(
            request ->
                request.send(new JsonObject().put("version", version).put("port", port).toBuffer()))
        .mapEmpty();
  }
}
