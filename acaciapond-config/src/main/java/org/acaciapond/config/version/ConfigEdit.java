package org.acaciapond.config.version;

import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * Proposed or accepted edit of the configuration, stored as an immutable object under its digest.
 *
 * @param epoch epoch of the version that the edit creates
 * @param sequence position of the edit within the epoch
 * @param parentDigest digest of the preceding edit, or empty for the first
 * @param editId unique ID of the attempt, which tells whether it succeeded if its response is lost
 * @param operator operator who made the edit
 * @param createdAt time at which the edit was proposed
 * @param textDigest digest of the object that holds the whole configuration text after the edit
 * @param textBytes size of that object in bytes
 * @param delta difference from the parent; null when the state must be read from the whole text
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
