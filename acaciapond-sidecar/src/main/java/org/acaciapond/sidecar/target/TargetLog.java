package org.acaciapond.sidecar.target;

import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.target.CheckIn;
import org.acaciapond.mesh.target.TargetPhase;
import org.acaciapond.sidecar.telemetry.EventLog;

/** Log lines of what is believed of the target and of calls that it did not answer. */
final class TargetLog {

  private final EventLog log;

  TargetLog(EventLog log) {
    this.log = log;
  }

  void otherService(CheckIn checkIn) {
    log.event("check_in_ignored", "id", checkIn.id(), "service", checkIn.service());
  }

  void status(CheckIn held, TargetPhase from, TargetPhase to) {
    log.event(
        "target_status",
        "id",
        held.id(),
        "born_ms",
        held.bornMs(),
        "sequence",
        held.sequence(),
        "version",
        held.version(),
        "slots",
        held.slots(),
        "from",
        from,
        "to",
        to);
  }

  void left(String id, long bornMs, boolean held) {
    log.event("target_left", "id", id, "born_ms", bornMs, "held", held);
  }

  void recalled(String id, TargetPhase phase, boolean held) {
    log.event("target_recalled", "id", id, "phase", phase, "held", held);
  }

  void settled(TargetPhase phase) {
    log.event("door_settled", "phase", phase);
  }

  void unreachable(MeshCall call, Throwable error) {
    log.request("target_unreachable", "id", call.id(), "error", error.getMessage());
  }

  void refused(MeshCall call, int status) {
    log.request("target_refused", "id", call.id(), "status", status);
  }

  void badAnswer(MeshCall call, int status) {
    log.request("bad_answer", "id", call.id(), "status", status);
  }

  void broke(MeshCall call, long runNanos, boolean badAnswer, String message) {
    log.request(
        "target_broke",
        "id",
        call.id(),
        "after_ms",
        runNanos / 1_000_000,
        "bad_answer",
        badAnswer,
        "error",
        message);
  }
}
