package org.acaciapond.sidecar.call;

import org.acaciapond.mesh.target.Candidate;
import org.jspecify.annotations.Nullable;

/** Attempt of a request: one call to the node of a target. */
final class Attempt {

  final Candidate candidate;
  final long startNanos;
  boolean done;
  @Nullable Runnable canceller;

  Attempt(Candidate candidate, long startNanos) {
    this.candidate = candidate;
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
