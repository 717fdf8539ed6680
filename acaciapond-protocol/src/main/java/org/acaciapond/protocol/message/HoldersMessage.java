package org.acaciapond.protocol.message;

import org.acaciapond.config.version.ConfigVersion;

/**
 * Report of how many other keepers of the domain of the receiver hold a version.
 *
 * @param version the version
 * @param otherHolders keepers that hold it, without the receiver
 */
public record HoldersMessage(ConfigVersion version, int otherHolders) implements Message {}
