package org.acaciapond.mesh.target;

/**
 * Load of a target, which nodes send with every response and status.
 *
 * @param running calls that the target processes
 * @param queued calls that wait in the admission queue of its node
 * @param urgentQueued urgent calls among the queued ones
 * @param serviceUs smoothed service time of a call in the target, in microseconds
 * @param failurePermille smoothed share of calls that the target failed or rejected
 */
public record TargetLoad(
    int running, int queued, int urgentQueued, int serviceUs, int failurePermille) {

  /** Load of a target of which nothing is known. */
  public static final TargetLoad NONE = new TargetLoad(0, 0, 0, 0, 0);
}
