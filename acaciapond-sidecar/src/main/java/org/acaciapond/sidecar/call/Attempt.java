package org.acaciapond.sidecar.call;

import org.acaciapond.mesh.target.Candidate;
import org.jspecify.annotations.Nullable;

/** One call to a node that has not ended. */
final class Attempt {

  final Candidate candidate;
  final long startNanos;
  boolean done;
  @Nullable Runnable giveUp;

  Attempt(Candidate candidate, long startNanos) {
    this.candidate = candidate;
    this.startNanos = startNanos;
  }

  /** Gives the call up unless it has ended. */
  void abandon() {
    Runnable how = giveUp;
    giveUp = null;
    if (how != null && !done) {
      done = true;
      how.run();
    }
  }
}
