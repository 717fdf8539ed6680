package org.acaciapond.platform.client.lease;

/**
 * Lease as its holder knows it.
 *
 * @param key key of the row
 * @param epoch grows each time the lease changes hands
 * @param revision revision of the row, which serves as the fencing token
 * @param validUntilNanos monotonic time up to which no other holder can have taken it
 */
public record Lease(String key, long epoch, long revision, long validUntilNanos) {}
