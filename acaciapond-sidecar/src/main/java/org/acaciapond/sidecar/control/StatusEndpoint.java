package org.acaciapond.sidecar.control;

import java.util.List;
import java.util.function.BooleanSupplier;
import org.acaciapond.http.HttpExchange;
import org.acaciapond.http.HttpResponse;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;

/** Readiness and metrics of the node. */
public final class StatusEndpoint {

  private static final String METRICS_PATH = "/metrics";
  private static final List<String> TEXT =
      List.of("Content-Type", "text/plain; version=0.0.4; charset=utf-8");
  private static final List<String> RETRY_SOON = List.of("Retry-After", "1");

  private final String readyPath;
  private final BooleanSupplier ready;
  private final EventLog log;
  private final NodeMetrics metrics;

  /** Creates the endpoint. */
  public StatusEndpoint(
      String readyPath, BooleanSupplier ready, EventLog log, NodeMetrics metrics) {
    this.readyPath = readyPath;
    this.ready = ready;
    this.log = log;
    this.metrics = metrics;
  }

  /** Answers a question. */
  public void handle(HttpExchange exchange) {
    if (exchange.uri().equals(readyPath)) {
      boolean now = ready.getAsBoolean();
      exchange.answer(HttpResponse.empty(now ? 200 : 503, now ? List.of() : RETRY_SOON));
    } else if (exchange.uri().equals(METRICS_PATH)) {
      metrics.logLinesDropped(log.dropped());
      exchange.answer(new HttpResponse(200, TEXT, metrics.text()));
    } else {
      exchange.answer(HttpResponse.empty(404, List.of()));
    }
  }
}
