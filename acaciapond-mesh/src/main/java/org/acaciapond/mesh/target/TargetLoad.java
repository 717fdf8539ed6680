package org.acaciapond.mesh.target;

/**
 * Load that travels with each answer between nodes.
 *
 * @param running calls that the target works on
 * @param queued calls that wait at its node
 * @param urgentQueued those of them that urgent calls would wait behind
 * @param serviceUs smoothed time of a call in the target, in microseconds
 * @param failurePermille smoothed share of calls that the target failed or turned away
 */
public record TargetLoad(
    int running, int queued, int urgentQueued, int serviceUs, int failurePermille) {

  /** Load of a target that nothing is known of. */
  public static final TargetLoad NONE = new TargetLoad(0, 0, 0, 0, 0);
}
