package org.acaciapond.sidecar.call;

import java.util.Locale;
import org.acaciapond.mesh.call.MeshResponse;
import org.acaciapond.mesh.call.Reason;
import org.acaciapond.mesh.target.Candidate;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;

/** Log lines and counters of one request, each with the request's id. */
final class RequestLog {

  private final EventLog log;
  private final NodeMetrics metrics;
  private final String id;
  private final String route;

  RequestLog(EventLog log, NodeMetrics metrics, String id, String route) {
    this.log = log;
    this.metrics = metrics;
    this.id = id;
    this.route = route;
  }

  /** Notes how a call to a node ended; only calls without an answer make a line. */
  void attempt(Candidate target, MeshResponse reply, int leftMs) {
    metrics.countAttempt(reply.reason().name().toLowerCase(Locale.ROOT));
    if (reply.reason() != Reason.NONE) {
      log.request(
          "attempt_failed",
          "id",
          id,
          "route",
          route,
          "peer",
          target.node(),
          "target",
          target.status().id(),
          "outcome",
          reply.outcome(),
          "reason",
          reply.reason(),
          "running",
          reply.load().running(),
          "queued",
          reply.load().queued(),
          "left_ms",
          leftMs);
    }
  }

  void secondTry(Candidate first, Candidate second, long afterMs) {
    log.request(
        "second_try",
        "id",
        id,
        "route",
        route,
        "first",
        first.node(),
        "second",
        second.node(),
        "after_ms",
        afterMs);
  }

  /** Notes the end of the request; an answered one makes no line. */
  void ended(String end, int status, long nanos, Object... fields) {
    metrics.recordRequest(end, nanos);
    if (end.equals("answered")) {
      return;
    }
    Object[] all = new Object[fields.length + 10];
    Object[] first = {
      "id", id, "end", end, "status", status, "route", route, "after_ms", nanos / 1_000_000
    };
    System.arraycopy(first, 0, all, 0, first.length);
    System.arraycopy(fields, 0, all, first.length, fields.length);
    log.request("request_ended", all);
  }
}
