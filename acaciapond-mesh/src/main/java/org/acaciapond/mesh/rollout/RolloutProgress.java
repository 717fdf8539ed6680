package org.acaciapond.mesh.rollout;

/**
 * Content of the stored row that records the progress of a service's rollout.
 *
 * @param service service whose traffic is shifted
 * @param toVersion version that receives the traffic
 * @param state state of the rollout
 */
public record RolloutProgress(String service, String toVersion, RolloutState state) {}
