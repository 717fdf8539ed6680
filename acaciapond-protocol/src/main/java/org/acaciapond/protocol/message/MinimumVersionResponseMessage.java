package org.acaciapond.protocol.message;

import org.acaciapond.config.version.ConfigVersion;

/**
 * Answer to a {@link MinimumVersionRequestMessage}.
 *
 * @param hostId host that answers
 * @param held highest version that it holds
 */
public record MinimumVersionResponseMessage(String hostId, ConfigVersion held) implements Message {}
