package org.acaciapond.rollout.state;

/** Version of a service that was removed from routing because it is bad; never revoked. */
public record TakenBackVersion(String service, String version) {}
