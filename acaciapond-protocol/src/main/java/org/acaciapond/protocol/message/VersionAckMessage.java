package org.acaciapond.protocol.message;

import org.acaciapond.config.version.ConfigVersion;

/**
 * Acknowledgement that a replica holds a version.
 *
 * @param hostId host of the replica
 * @param version version that the replica holds
 */
public record VersionAckMessage(String hostId, ConfigVersion version) implements Message {}
