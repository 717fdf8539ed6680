package org.acaciapond.protocol.message;

import org.acaciapond.config.version.ConfigVersion;

/**
 * Report that a replica holds a version.
 *
 * @param hostId host of the replica
 * @param version version that it holds
 */
public record VersionAckMessage(String hostId, ConfigVersion version) implements Message {}
