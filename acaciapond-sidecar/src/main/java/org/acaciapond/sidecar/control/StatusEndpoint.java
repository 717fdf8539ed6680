package org.acaciapond.sidecar.control;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.acaciapond.http.HttpExchange;
import org.acaciapond.http.HttpResponse;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;

/** HTTP endpoint for the readiness check, the metrics and explanations of requests. */
public final class StatusEndpoint {

  private static final String METRICS_PATH = "/metrics";
  private static final String EXPLAIN_PREFIX = "/explain?";
  private static final List<String> TEXT_HEADERS =
      List.of("Content-Type", "text/plain; version=0.0.4; charset=utf-8");
  private static final List<String> RETRY_AFTER_HEADERS = List.of("Retry-After", "1");

  private final String readyPath;
  private final BooleanSupplier ready;
  private final EventLog log;
  private final NodeMetrics metrics;
  private final Function<HttpExchange, HttpResponse> explain;

  /** Creates the endpoint. */
  public StatusEndpoint(
      String readyPath,
      BooleanSupplier ready,
      EventLog log,
      NodeMetrics metrics,
      Function<HttpExchange, HttpResponse> explain) {
    this.readyPath = readyPath;
    this.ready = ready;
    this.log = log;
    this.metrics = metrics;
    this.explain = explain;
  }

  /** Handles a request. */
  public void handle(HttpExchange exchange) {
    if (exchange.uri().equals(readyPath)) {
      boolean isReady = ready.getAsBoolean();
      exchange.respond(
          HttpResponse.empty(isReady ? 200 : 503, isReady ? List.of() : RETRY_AFTER_HEADERS));
    } else if (exchange.uri().equals(METRICS_PATH)) {
      metrics.setLogLinesDropped(log.droppedLineCount());
      exchange.respond(new HttpResponse(200, TEXT_HEADERS, metrics.scrape()));
    } else if (exchange.uri().startsWith(EXPLAIN_PREFIX) && exchange.method().equals("GET")) {
      exchange.respond(explain.apply(exchange));
    } else {
      exchange.respond(HttpResponse.empty(404, List.of()));
    }
  }
}
