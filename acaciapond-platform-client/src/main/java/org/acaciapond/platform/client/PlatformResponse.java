package org.acaciapond.platform.client;

/**
 * Answer of the platform.
 *
 * @param status HTTP status
 * @param revision revision of the row, or 0 when none is named
 * @param retryAfterMs wait that the platform asks for, or 0
 * @param body content, possibly empty
 */
public record PlatformResponse(int status, long revision, long retryAfterMs, byte[] body) {}
