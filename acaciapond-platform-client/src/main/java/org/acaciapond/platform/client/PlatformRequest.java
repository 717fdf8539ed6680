package org.acaciapond.platform.client;

import org.jspecify.annotations.Nullable;

/**
 * One request to the platform.
 *
 * @param method HTTP method, {@code GET} or {@code PUT}
 * @param path path and query, escaped
 * @param expectedRevision revision that a written row must have, 0 when it must not exist, or null
 *     for an unconditional request
 * @param body content to write, or null for a read
 */
public record PlatformRequest(
    String method, String path, @Nullable Long expectedRevision, byte @Nullable [] body) {}
