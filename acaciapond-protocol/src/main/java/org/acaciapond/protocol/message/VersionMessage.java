package org.acaciapond.protocol.message;

import org.acaciapond.config.version.ConfigVersion;

/**
 * Announcement of a version that changes nothing in the scope of the receiver.
 *
 * @param version the version
 * @param contentDigestStart first half of the digest of the content that the receiver should hold
 */
public record VersionMessage(ConfigVersion version, String contentDigestStart) implements Message {}
