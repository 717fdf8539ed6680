package org.acaciapond.protocol.message;

import org.acaciapond.config.version.ConfigVersion;

/**
 * Request for the updates of a scope, sent again when an update does not apply.
 *
 * @param hostId host of the subscriber
 * @param domain its failure domain
 * @param service service whose scope is wanted, or empty for the whole configuration
 * @param held version that the subscriber holds
 * @param heldDigest digest of the content that it holds, or empty to get the whole
 */
public record SubscribeMessage(
    String hostId, String domain, String service, ConfigVersion held, String heldDigest)
    implements Message {}
