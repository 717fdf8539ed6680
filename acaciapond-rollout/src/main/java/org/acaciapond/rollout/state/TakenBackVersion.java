package org.acaciapond.rollout.state;

/** Fact that a version of a service is bad; never revoked. */
public record TakenBackVersion(String service, String version) {}
