package org.acaciapond.platform.client;

/**
 * Response of the platform.
 *
 * @param status HTTP status
 * @param revision revision of the row, or 0 if the response has none
 * @param retryAfterMs delay that the platform requires before a retry, or 0
 * @param body content, possibly empty
 */
public record PlatformResponse(int status, long revision, long retryAfterMs, byte[] body) {}
