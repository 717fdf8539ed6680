package org.acaciapond.rollout.state;

/**
 * Permission to send a share of the calls of a service to its new version.
 *
 * @param service service
 * @param from old version
 * @param to new version
 * @param share share of calls for the new version
 * @param targets number of new targets that receive the share
 * @param number number of the grant; increases with each grant of a service
 */
public record ShareGrant(
    String service, String from, String to, double share, int targets, long number) {}
