package org.acaciapond.rollout.pace;

/**
 * One step of a rollout.
 *
 * @param share share of the service's calls for the new version
 * @param targets number of new targets that the share is concentrated on
 */
public record Step(double share, int targets) {}
