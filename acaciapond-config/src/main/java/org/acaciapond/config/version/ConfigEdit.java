package org.acaciapond.config.version;

import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * Accepted or proposed edit, stored as an immutable object addressed by its digest.
 *
 * @param epoch epoch of the edit
 * @param sequence position of the edit within the epoch
 * @param parentDigest digest of the edit before it, or empty for the first
 * @param editId unique identity of the attempt, by which a lost answer is settled
 * @param operator who made the edit
 * @param createdAt when the edit was proposed
 * @param textDigest digest of the object that holds the whole configuration text after the edit
 * @param textBytes size of that object
 * @param delta difference to the parent; null when only the whole text leads to this edit
 */
public record ConfigEdit(
    long epoch,
    long sequence,
    String parentDigest,
    String editId,
    String operator,
    Instant createdAt,
    String textDigest,
    long textBytes,
    @Nullable EditDelta delta) {}
