package org.acaciapond.mesh.explain;

/** Whether a target would get the request, or the first reason why not. */
public enum CandidateState {
  /** May be chosen by its cost. */
  ELIGIBLE,
  /** Chosen only if no target is eligible, as it refused or failed a call a moment ago. */
  AVOIDED,
  /** Would most likely refuse the request, as too many calls wait for the target. */
  LIKELY_REFUSED,
  /** Has a version that gets no requests now. */
  OTHER_VERSION,
  /** Its node shuts down. */
  NODE_LEAVING,
  /** Its phase is one that gets no calls, such as draining. */
  NOT_READY,
  /** The operator evacuated its failure domain. */
  EVACUATED
}
