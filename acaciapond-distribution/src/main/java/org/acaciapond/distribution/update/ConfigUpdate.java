package org.acaciapond.distribution.update;

import org.acaciapond.config.version.ConfigVersion;

/**
 * Step of one subscription to a version.
 *
 * @param version version that it leads to
 * @param baseDigest digest of the content that the difference applies to
 * @param delta difference; empty when the version changes nothing in the scope
 * @param resultDigest digest of the content after it
 */
public record ConfigUpdate(
    ConfigVersion version, String baseDigest, ContentDelta delta, String resultDigest) {

  /** Returns an update that applies to any receiver, as it carries the whole content. */
  public static ConfigUpdate full(ConfigVersion version, ScopedContent content) {
    return between(version, ScopedContent.EMPTY, content);
  }

  /** Returns an update for a receiver that holds a content. */
  public static ConfigUpdate between(
      ConfigVersion version, ScopedContent held, ScopedContent content) {
    return new ConfigUpdate(
        version, held.digest(), ContentDelta.between(held, content), content.digest());
  }

  /** Returns whether it carries the whole content. */
  public boolean isFull() {
    return baseDigest.equals(ScopedContent.EMPTY.digest());
  }

  /** Returns whether it only names a version. */
  public boolean isAnnouncement() {
    return delta.isEmpty() && baseDigest.equals(resultDigest);
  }
}
