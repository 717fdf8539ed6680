package org.acaciapond.protocol.message;

import org.acaciapond.config.version.ConfigVersion;

/**
 * Request for the updates of a scope, sent again when an update does not apply.
 *
 * @param hostId host of the subscriber
 * @param domain failure domain of the subscriber
 * @param service service whose scope is requested, or empty for the whole configuration
 * @param currentVersion version that the subscriber holds
 * @param currentDigest digest of the content that the subscriber holds, or empty to request all of
 *     it
 */
public record SubscribeMessage(
    String hostId,
    String domain,
    String service,
    ConfigVersion currentVersion,
    String currentDigest)
    implements Message {}
