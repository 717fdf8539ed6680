package org.acaciapond.config.version;

import java.time.Instant;

/**
 * Accepted or proposed edit, stored as an immutable object addressed by its digest.
 *
 * @param epoch epoch of the edit
 * @param sequence position of the edit within the epoch
 * @param parentDigest digest of the edit before it, or empty for the first
 * @param editId unique identity of the attempt, by which a lost answer is settled
 * @param operator who made the edit
 * @param createdAt when the edit was proposed
 * @param text whole configuration text after the edit
 */
public record ConfigEdit(
    long epoch,
    long sequence,
    String parentDigest,
    String editId,
    String operator,
    Instant createdAt,
    String text) {}
