package org.acaciapond.sidecar.target;

import java.time.Duration;
import org.acaciapond.http.ResponseHead;
import org.acaciapond.http.UnexpectedResponse;
import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.pace.PaceState;
import org.acaciapond.mesh.target.CheckIn;
import org.acaciapond.mesh.target.TargetPhase;
import org.acaciapond.sidecar.telemetry.EventLog;

/** Log events on the status of the target and on calls that it did not answer. */
final class TargetLog {

  private final EventLog log;

  TargetLog(EventLog log) {
    this.log = log;
  }

  void checkInIgnored(CheckIn checkIn) {
    log.event("check_in_ignored", "id", checkIn.id(), "service", checkIn.service());
  }

  void statusChanged(CheckIn checkIn, TargetPhase from, TargetPhase to) {
    log.event(
        "target_status",
        "id",
        checkIn.id(),
        "born_ms",
        checkIn.startedMs(),
        "sequence",
        checkIn.sequence(),
        "version",
        checkIn.version(),
        "slots",
        checkIn.slots(),
        "cold_ms",
        checkIn.coldMs(),
        "from",
        from,
        "to",
        to);
  }

  void deregistered(String id, long startedMs, boolean changed) {
    log.event("target_left", "id", id, "born_ms", startedMs, "held", changed);
  }

  void statusRestored(String id, TargetPhase phase, String source, boolean changed) {
    log.event("target_recalled", "id", id, "phase", phase, "source", source, "held", changed);
  }

  void admissionStarted(TargetPhase phase) {
    log.event("door_settled", "phase", phase);
  }

  void paceChanged(PaceState from, PaceState to, int limit, int running, int queued) {
    log.event(
        "target_pace",
        "from",
        from,
        "to",
        to,
        "limit",
        limit,
        "running",
        running,
        "queued",
        queued);
  }

  void unreachable(MeshCall call, Throwable error) {
    log.request("target_unreachable", "id", call.id(), "error", error.getMessage());
  }

  void refused(MeshCall call, int status) {
    log.request("target_refused", "id", call.id(), "status", status);
  }

  void badResponse(MeshCall call, TargetConnection connection, int status) {
    log.request(
        "bad_answer",
        "id",
        call.id(),
        "status",
        status,
        "received_bytes",
        connection.receivedBytes(),
        "connection",
        connection.number());
  }

  void callBroken(
      MeshCall call,
      TargetConnection connection,
      long elapsedNanos,
      boolean badResponse,
      String message) {
    log.request(
        "target_broke",
        "id",
        call.id(),
        "after_ms",
        elapsedNanos / 1_000_000,
        "bad_answer",
        badResponse,
        "error",
        message,
        "status",
        connection.receivedStatus(),
        "received_bytes",
        connection.receivedBytes(),
        "connection",
        connection.number());
  }

  void unexpectedResponse(
      TargetConnection connection, UnexpectedResponse response, String returnedId) {
    ResponseHead head = response.head();
    Duration sinceLastResponse = response.sinceLastResponse();
    log.request(
        "unexpected_response",
        "kind",
        response.kind(),
        "id",
        connection.lastCallId(),
        "previous_id",
        connection.previousCallId(),
        "returned_id",
        returnedId,
        "status",
        head == null ? 0 : head.status(),
        "received_bytes",
        response.receivedBytes(),
        "since_answer_ms",
        sinceLastResponse == null ? -1 : sinceLastResponse.toMillis(),
        "connection",
        connection.number());
  }

  void callRepeated(MeshCall call, CallRun run, CallRun previous) {
    log.request(
        "call_repeated",
        "id",
        call.id(),
        "route",
        call.route(),
        "run",
        run.number(),
        "previous_outcome",
        previous.outcomeName(),
        "previous_reason",
        previous.reason(),
        "previous_status",
        previous.status(),
        "after_ms",
        (run.sentNanos() - previous.sentNanos()) / 1_000_000,
        "previous_connection",
        previous.connectionNumber(),
        "connection",
        run.connectionNumber());
  }

  void repeatedCallEnded(MeshCall call, CallRun run, long elapsedNanos) {
    log.request(
        "repeated_call_ended",
        "id",
        call.id(),
        "route",
        call.route(),
        "run",
        run.number(),
        "outcome",
        run.outcomeName(),
        "reason",
        run.reason(),
        "status",
        run.status(),
        "after_ms",
        elapsedNanos / 1_000_000,
        "connection",
        run.connectionNumber());
  }
}
