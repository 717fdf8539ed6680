package org.acaciapond.rollout.schedule;

/**
 * One step of a rollout.
 *
 * @param share share of the service's calls for the new version
 * @param targets number of new targets that receive the share
 */
public record RolloutStep(double share, int targets) {}
