package org.acaciapond.protocol.message;

import org.acaciapond.config.version.ConfigVersion;

/**
 * Number of other replicas, in the failure domain of the receiver, that hold a version.
 *
 * @param version the version
 * @param otherReplicas number of replicas that hold it, without the receiver
 */
public record ReplicaCountMessage(ConfigVersion version, int otherReplicas) implements Message {}
