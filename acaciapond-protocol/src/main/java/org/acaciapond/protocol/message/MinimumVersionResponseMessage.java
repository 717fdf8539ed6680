package org.acaciapond.protocol.message;

import org.acaciapond.config.version.ConfigVersion;

/**
 * Response to a {@link MinimumVersionRequestMessage}.
 *
 * @param hostId host of the responding replica
 * @param highestVersion highest version that the replica holds
 */
public record MinimumVersionResponseMessage(String hostId, ConfigVersion highestVersion)
    implements Message {}
