package org.acaciapond.mesh.rollout;

/**
 * Operator's order to roll out a version of a service.
 *
 * @param service service whose traffic is shifted
 * @param toVersion version that receives the traffic
 * @param durationMs time within which the rollout should be complete
 * @param number number of the order; a higher one replaces a lower one of the same service
 */
public record RolloutOrder(String service, String toVersion, int durationMs, long number) {}
