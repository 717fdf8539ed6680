package org.acaciapond.sidecar.call;

import org.acaciapond.mesh.target.Candidate;
import org.acaciapond.rollout.evidence.CallResult;

/** Observer of call results, from which versions of a service are compared. */
@FunctionalInterface
public interface CallObserver {

  /**
   * Handles the result of one call to a target.
   *
   * @param serviceUs service time in the target, in microseconds
   */
  void onCallResult(Candidate target, String route, CallResult result, double serviceUs);
}
