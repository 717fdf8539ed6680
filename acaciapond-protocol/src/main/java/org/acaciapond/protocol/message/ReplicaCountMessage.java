package org.acaciapond.protocol.message;

import org.acaciapond.config.version.ConfigVersion;

/**
 * Report of how many other replicas of the domain of the receiver hold a version.
 *
 * @param version the version
 * @param otherHolders replicas that hold it, without the receiver
 */
public record ReplicaCountMessage(ConfigVersion version, int otherHolders) implements Message {}
