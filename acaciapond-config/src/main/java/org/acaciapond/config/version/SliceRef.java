package org.acaciapond.config.version;

/**
 * Reference to the slice of one service.
 *
 * @param service name of the service
 * @param digest digest of the slice, which is its address in the object store
 */
public record SliceRef(String service, String digest) {}
