package org.acaciapond.sidecar.call;

import org.acaciapond.mesh.target.Candidate;
import org.acaciapond.rollout.evidence.CallResult;

/** Receives what each call to a target showed of its version. */
@FunctionalInterface
public interface CallObserver {

  /**
   * Takes the result of one call.
   *
   * @param latencyUs time in the target, in microseconds
   */
  void saw(Candidate target, String route, CallResult result, double latencyUs);
}
