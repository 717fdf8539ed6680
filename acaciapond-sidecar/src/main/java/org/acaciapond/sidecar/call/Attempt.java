package org.acaciapond.sidecar.call;

import org.acaciapond.mesh.call.OpenCall;
import org.acaciapond.mesh.target.Candidate;
import org.acaciapond.mesh.target.TargetStatus;
import org.jspecify.annotations.Nullable;

/** Attempt of a request: one call to the node of a target. */
final class Attempt {

  final Candidate candidate;
  // Status at the start: the host may get another target before the call ends.
  final TargetStatus target;
  final long startNanos;
  boolean done;
  @Nullable OpenCall call;

  Attempt(Candidate candidate, long startNanos) {
    this.candidate = candidate;
    this.target = candidate.status();
    this.startNanos = startNanos;
  }

  /** Cancels the call unless it has ended. */
  void cancel() {
    OpenCall current = call;
    call = null;
    if (current != null && !done) {
      done = true;
      current.cancel();
    }
  }

  /** Returns whether the target may have been handed the call. */
  boolean mayHaveRun() {
    OpenCall current = call;
    return current == null || current.mayHaveRun();
  }
}
