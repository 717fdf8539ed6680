package org.acaciapond.distribution.update;

import java.util.Optional;
import java.util.function.Function;
import org.acaciapond.config.version.ConfigVersion;
import org.jspecify.annotations.Nullable;

/** Sending end of a subscription; knows what the subscriber holds and sends the difference. */
public final class SubscriptionFeed {

  private final Function<MeshState, ScopedContent> scoping;
  private ConfigVersion sentVersion;
  private String sentDigest;
  private @Nullable ScopedContent sentContent;

  /**
   * Creates a feed.
   *
   * @param scoping returns the content that the subscriber needs
   * @param heldVersion version that the subscriber holds
   * @param heldDigest digest of the content that it holds
   */
  public SubscriptionFeed(
      Function<MeshState, ScopedContent> scoping, ConfigVersion heldVersion, String heldDigest) {
    this.scoping = scoping;
    this.sentVersion = heldVersion;
    this.sentDigest = heldDigest;
  }

  /** Returns the update that brings the subscriber to a state; empty when it is there already. */
  public Optional<ConfigUpdate> advance(MeshState state) {
    if (!state.version().isAfter(sentVersion)) {
      return Optional.empty();
    }
    ScopedContent next = scoping.apply(state);
    final ConfigUpdate update = updateTo(state.version(), next);
    sentVersion = state.version();
    sentDigest = next.digest();
    sentContent = next;
    return Optional.of(update);
  }

  private ConfigUpdate updateTo(ConfigVersion version, ScopedContent next) {
    ScopedContent held = next.digest().equals(sentDigest) ? next : sentContent;
    return held == null
        ? ConfigUpdate.full(version, next)
        : ConfigUpdate.between(version, held, next);
  }
}
