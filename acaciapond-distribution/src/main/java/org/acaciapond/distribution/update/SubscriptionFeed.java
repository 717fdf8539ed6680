package org.acaciapond.distribution.update;

import java.util.Optional;
import java.util.function.Function;
import org.acaciapond.config.version.ConfigVersion;
import org.jspecify.annotations.Nullable;

/**
 * Source of the updates of one subscription; tracks the content that the subscriber has and creates
 * an update with the difference, or a full update if that content is not known.
 */
public final class SubscriptionFeed {

  private final Function<MeshState, ScopedContent> contentSelector;
  private ConfigVersion sentVersion;
  private String sentDigest;
  private @Nullable ScopedContent sentContent;

  /**
   * Creates a feed.
   *
   * @param contentSelector selects the content that the subscriber needs
   * @param currentVersion version that the subscriber has
   * @param currentDigest digest of the content that the subscriber has
   */
  public SubscriptionFeed(
      Function<MeshState, ScopedContent> contentSelector,
      ConfigVersion currentVersion,
      String currentDigest) {
    this.contentSelector = contentSelector;
    this.sentVersion = currentVersion;
    this.sentDigest = currentDigest;
  }

  /** Returns the update to a newer state; empty if the subscriber is up to date. */
  public Optional<ConfigUpdate> advance(MeshState state) {
    if (!state.version().isAfter(sentVersion)) {
      return Optional.empty();
    }
    ScopedContent next = contentSelector.apply(state);
    final ConfigUpdate update = updateTo(state.version(), next);
    sentVersion = state.version();
    sentDigest = next.digest();
    sentContent = next;
    return Optional.of(update);
  }

  private ConfigUpdate updateTo(ConfigVersion version, ScopedContent next) {
    ScopedContent base = next.digest().equals(sentDigest) ? next : sentContent;
    return base == null
        ? ConfigUpdate.full(version, next)
        : ConfigUpdate.between(version, base, next);
  }
}
