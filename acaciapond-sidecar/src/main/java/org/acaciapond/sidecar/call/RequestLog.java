package org.acaciapond.sidecar.call;

import java.util.Locale;
import org.acaciapond.mesh.call.MeshResponse;
import org.acaciapond.mesh.call.Reason;
import org.acaciapond.mesh.target.Candidate;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;

/** Log events and metrics of one request; every event contains the request's id. */
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

  /** Records the end of an attempt; only attempts without an answer are logged. */
  void attemptEnded(Candidate target, MeshResponse response, int leftMs) {
    metrics.countAttempt(response.reason().name().toLowerCase(Locale.ROOT));
    if (response.reason() != Reason.NONE) {
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
          response.outcome(),
          "reason",
          response.reason(),
          "running",
          response.load().running(),
          "queued",
          response.load().queued(),
          "left_ms",
          leftMs);
    }
  }

  void hedgedAttemptSent(Candidate first, Candidate second, long afterMs) {
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

  /** Records the end of the request; answered requests are not logged. */
  void requestEnded(String end, int status, long nanos, Object... fields) {
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
