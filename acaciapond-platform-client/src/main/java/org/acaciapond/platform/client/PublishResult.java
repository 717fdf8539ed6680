package org.acaciapond.platform.client;

import org.acaciapond.config.version.ConfigVersion;
import org.jspecify.annotations.Nullable;

/**
 * Result of proposing an edit.
 *
 * @param outcome whether the edit was accepted
 * @param version version of the accepted edit, or of the other edit on a conflict
 * @param otherEdit head of the edit that was accepted instead, on a conflict
 */
public record PublishResult(
    Outcome outcome, ConfigVersion version, @Nullable ConfigHead otherEdit) {

  /** Outcome of a proposed edit. */
  public enum Outcome {
    /** The edit is durable and final. */
    ACCEPTED,
    /** Another edit was accepted; this one did not and will not take effect. */
    CONFLICT,
    /** The platform could not be reached before the write; the edit did not take effect. */
    UNAVAILABLE,
    /** The write may or may not have taken effect. */
    UNKNOWN
  }
}
