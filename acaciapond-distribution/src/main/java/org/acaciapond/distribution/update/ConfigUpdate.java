package org.acaciapond.distribution.update;

import org.acaciapond.config.version.ConfigVersion;

/**
 * Update that brings the subscriber of a scope to a version.
 *
 * @param version version after the update
 * @param baseDigest digest of the content that the difference applies to
 * @param delta difference; empty if the version does not change the scope
 * @param resultDigest digest of the content after the update
 */
public record ConfigUpdate(
    ConfigVersion version, String baseDigest, ContentDelta delta, String resultDigest) {

  /** Returns an update with the full content, which applies to any receiver. */
  public static ConfigUpdate full(ConfigVersion version, ScopedContent content) {
    return between(version, ScopedContent.EMPTY, content);
  }

  /** Returns an update for a receiver whose current content is known. */
  public static ConfigUpdate between(
      ConfigVersion version, ScopedContent current, ScopedContent content) {
    return new ConfigUpdate(
        version, current.digest(), ContentDelta.between(current, content), content.digest());
  }

  /** Returns whether the update contains the full content. */
  public boolean isFull() {
    return baseDigest.equals(ScopedContent.EMPTY.digest());
  }

  /** Returns whether the update changes the version but not the content. */
  public boolean isVersionOnly() {
    return delta.isEmpty() && baseDigest.equals(resultDigest);
  }
}
