package org.acaciapond.sidecar.call;

import org.acaciapond.mesh.target.TargetStatus;
import org.acaciapond.rollout.evidence.CallResult;

/** Observer of the calls to targets, from which versions of a service are compared. */
public interface CallObserver {

  /** Handles the start of a call to a target. */
  void onCallSent(TargetStatus target);

  /** Handles the end of a call that was refused before it reached the target. */
  void onCallRefused(TargetStatus target);

  /**
   * Handles the result of a call that reached the target.
   *
   * @param target status of the target when the call was sent
   * @param serviceUs service time in the target, in microseconds
   * @param cold whether the target is slow because it has just started
   */
  void onCallResult(
      TargetStatus target, String route, CallResult result, double serviceUs, boolean cold);
}
