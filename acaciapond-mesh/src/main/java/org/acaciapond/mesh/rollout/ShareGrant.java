package org.acaciapond.mesh.rollout;

/**
 * What the judge of a move allows.
 *
 * @param service service whose traffic moves
 * @param toVersion version that takes over
 * @param orderNumber number of the order
 * @param number number of the grant, higher with each change of the share
 * @param sharePermille part of the requests that the new version gets
 * @param state how far the move is; a version that was taken back stays so
 * @param elapsedMs time since the order as the judge counts it
 */
public record ShareGrant(
    String service,
    String toVersion,
    long orderNumber,
    long number,
    int sharePermille,
    RolloutState state,
    int elapsedMs) {}
