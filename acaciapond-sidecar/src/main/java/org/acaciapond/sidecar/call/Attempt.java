package org.acaciapond.sidecar.call;

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
  @Nullable Runnable canceller;

  Attempt(Candidate candidate, long startNanos) {
    this.candidate = candidate;
    this.target = candidate.status();
    this.startNanos = startNanos;
  }

  /** Cancels the call unless it has ended. */
  void cancel() {
    Runnable current = canceller;
    canceller = null;
    if (current != null && !done) {
      done = true;
      current.run();
    }
  }
}
