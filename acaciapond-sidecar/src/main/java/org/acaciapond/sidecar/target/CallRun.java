package org.acaciapond.sidecar.target;

import org.acaciapond.mesh.call.MeshResponse;
import org.acaciapond.mesh.call.Outcome;
import org.acaciapond.mesh.call.Reason;
import org.jspecify.annotations.Nullable;

/** A call that was sent to the target, and how it ended. */
final class CallRun {

  private static final String RUNNING = "RUNNING";

  private final long sentNanos;
  private final long connectionNumber;
  private int number = 1;
  private @Nullable Outcome outcome;
  private Reason reason = Reason.NONE;
  private int status;

  CallRun(long sentNanos, long connectionNumber) {
    this.sentNanos = sentNanos;
    this.connectionNumber = connectionNumber;
  }

  /** Numbers this run after the one before it with the same call id. */
  void repeats(CallRun previous) {
    number = previous.number + 1;
  }

  void end(MeshResponse response) {
    outcome = response.outcome();
    reason = response.reason();
    status = response.status();
  }

  /** Returns the number of this run among those with the same call id; the first one is 1. */
  int number() {
    return number;
  }

  long sentNanos() {
    return sentNanos;
  }

  long connectionNumber() {
    return connectionNumber;
  }

  /** Returns the name of the outcome, or RUNNING before the end. */
  String outcomeName() {
    Outcome ended = outcome;
    return ended == null ? RUNNING : ended.name();
  }

  Reason reason() {
    return reason;
  }

  /** Returns the status that was passed on to the caller; 0 if there is none. */
  int status() {
    return status;
  }
}
