package org.acaciapond.distribution.update;

import org.acaciapond.config.version.ConfigException;
import org.acaciapond.config.version.ConfigVersion;

/**
 * Receiver of the updates of a subscription; accepts each newer version as a whole or not at all.
 *
 * @param <S> validated state that is built from accepted content
 */
public final class UpdateReceiver<S> {

  /** Result of offering an update. */
  public enum Decision {
    /** The update was accepted; its content is now the current one. */
    ACCEPTED,
    /** The version is not newer than the current one, or below the minimum version. */
    OLDER,
    /**
     * The version has the position of the current one but other content, which violates the
     * invariant that a position has only one content (I1).
     */
    CONTRADICTION,
    /** The update does not apply to the current content; a full update is needed. */
    NEEDS_FULL,
    /** The content is invalid; the whole update is rejected. */
    INVALID,
    /** The content is invalid, and the same version was rejected before. */
    INVALID_AGAIN
  }

  /**
   * Builder of a validated state.
   *
   * @param <S> type of the state
   */
  @FunctionalInterface
  public interface Builder<S> {

    /** Builds a state; throws {@link ConfigException} if the content is invalid. */
    S build(ConfigVersion version, ScopedContent content);
  }

  private final Builder<S> builder;
  private ConfigVersion version = ConfigVersion.NONE;
  private ConfigVersion minimumVersion = ConfigVersion.NONE;
  private ConfigVersion lastInvalid = ConfigVersion.NONE;
  private ScopedContent content = ScopedContent.EMPTY;
  private S state;

  /** Creates a receiver with an initial state that belongs to no version. */
  public UpdateReceiver(S initial, Builder<S> builder) {
    this.state = initial;
    this.builder = builder;
  }

  /** Raises the minimum version; updates to earlier versions are rejected. */
  public void raiseMinimumVersion(ConfigVersion minimum) {
    if (minimum.isAfter(minimumVersion)) {
      minimumVersion = minimum;
    }
  }

  /** Applies an update if it is newer, complete and valid. */
  public Decision offer(ConfigUpdate update) {
    if (update.version().contradicts(version)) {
      return Decision.CONTRADICTION;
    }
    if (!update.version().isAfter(version) || minimumVersion.isAfter(update.version())) {
      return Decision.OLDER;
    }
    boolean applies = update.isFull() || update.baseDigest().equals(content.digest());
    ScopedContent base = update.isFull() ? ScopedContent.EMPTY : content;
    ScopedContent next = applies ? update.delta().applyTo(base) : content;
    if (!applies || !next.digest().equals(update.resultDigest())) {
      return Decision.NEEDS_FULL;
    }
    return build(update.version(), next);
  }

  private Decision build(ConfigVersion next, ScopedContent nextContent) {
    try {
      state = builder.build(next, nextContent);
    } catch (ConfigException e) {
      boolean repeated = next.equals(lastInvalid);
      lastInvalid = next;
      return repeated ? Decision.INVALID_AGAIN : Decision.INVALID;
    }
    version = next;
    content = nextContent;
    return Decision.ACCEPTED;
  }

  /** Returns the current version. */
  public ConfigVersion version() {
    return version;
  }

  /** Returns the current content. */
  public ScopedContent content() {
    return content;
  }

  /** Returns the state built from the current content. */
  public S state() {
    return state;
  }
}
