package org.acaciapond.mesh.rollout;

/**
 * Step of a rollout.
 *
 * @param sharePermille share of the requests that the new version gets, in permille
 * @param startFraction fraction of the rollout's duration after which the step may begin
 */
public record RolloutStep(int sharePermille, double startFraction) {}
