package org.acaciapond.platform.client.lease;

/**
 * Lease from the view of its holder.
 *
 * @param key key of the row
 * @param epoch number that increases each time the lease is acquired
 * @param revision revision of the row, which serves as the fencing token
 * @param validUntilNanos monotonic time before which no other holder can have acquired the lease
 */
public record Lease(String key, long epoch, long revision, long validUntilNanos) {}
