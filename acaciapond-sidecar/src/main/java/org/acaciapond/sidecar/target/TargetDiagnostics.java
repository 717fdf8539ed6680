package org.acaciapond.sidecar.target;

import org.acaciapond.common.time.TimeSource;
import org.acaciapond.http.ResponseHead;
import org.acaciapond.http.UnexpectedResponse;
import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.call.MeshResponse;
import org.acaciapond.sidecar.telemetry.NodeMetrics;

/**
 * Counts and logs what could make a response pass for that of another call: unexpected responses of
 * the target, and call ids that are sent to it more than once.
 */
final class TargetDiagnostics {

  private final TargetExchange exchange;
  private final TargetLog log;
  private final NodeMetrics metrics;
  private final TimeSource time;
  private final RecentRuns recentRuns;

  TargetDiagnostics(
      TargetExchange exchange,
      RecentRuns recentRuns,
      TargetLog log,
      NodeMetrics metrics,
      TimeSource time) {
    this.exchange = exchange;
    this.recentRuns = recentRuns;
    this.log = log;
    this.metrics = metrics;
    this.time = time;
  }

  /** Records a response that the target sent without having been asked for it. */
  void recordUnexpected(TargetConnection connection, UnexpectedResponse response) {
    metrics.countUnexpectedResponse(response.kind());
    ResponseHead head = response.head();
    String returnedId = head == null ? null : exchange.returnedId(head);
    log.unexpectedResponse(connection, response, returnedId == null ? "" : returnedId);
  }

  /** Records that a call is about to be sent to the target. */
  CallRun recordSent(MeshCall call, TargetConnection connection) {
    CallRun run = new CallRun(time.nanoTime(), connection.number());
    CallRun previous = recentRuns.put(call.id(), run);
    if (previous != null) {
      run.repeats(previous);
      metrics.countRepeatedCall();
      log.callRepeated(call, run, previous);
    }
    return run;
  }

  /** Records the end of a call that was sent; one that was not repeated is not logged. */
  void recordEnded(MeshCall call, CallRun run, MeshResponse response) {
    run.end(response);
    if (run.number() > 1) {
      log.repeatedCallEnded(call, run, time.nanoTime() - run.sentNanos());
    }
  }
}
