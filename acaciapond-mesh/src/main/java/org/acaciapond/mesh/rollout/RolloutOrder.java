package org.acaciapond.mesh.rollout;

/**
 * Operator's order to move a service's traffic.
 *
 * @param service service whose traffic moves
 * @param toVersion version that takes over
 * @param durationMs time within which the move should be done
 * @param number number that orders the orders of a service
 */
public record RolloutOrder(String service, String toVersion, int durationMs, long number) {}
