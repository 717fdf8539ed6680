package org.acaciapond.mesh.rollout;

/** Row that states how far the move of a service to a version is. */
public record RolloutProgress(String service, String toVersion, RolloutState state) {}
