package org.acaciapond.platform.client;

import org.acaciapond.config.version.ConfigVersion;
import org.jspecify.annotations.Nullable;

/**
 * What became of a proposed edit.
 *
 * @param outcome its fate
 * @param version version in force after it: its own when accepted, the other's on a conflict
 * @param otherEdit head that won on a conflict
 */
public record PublishResult(
    Outcome outcome, ConfigVersion version, @Nullable ConfigHead otherEdit) {

  /** Fate of a proposed edit. */
  public enum Outcome {
    /** The edit is durable and final. */
    ACCEPTED,
    /** Another edit won; this one did not and will not take effect. */
    CONFLICT,
    /** The platform could not be reached before the write; nothing took effect. */
    UNAVAILABLE,
    /** The write may or may not have taken effect. */
    UNKNOWN
  }
}
