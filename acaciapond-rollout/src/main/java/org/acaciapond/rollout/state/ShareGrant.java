package org.acaciapond.rollout.state;

/**
 * Share of calls that routing may send to the new version.
 *
 * @param service service
 * @param from old version
 * @param to new version
 * @param share share of calls for the new version
 * @param targets number of new targets the share is concentrated on
 * @param number order of the grants of a service
 */
public record ShareGrant(
    String service, String from, String to, double share, int targets, long number) {}
