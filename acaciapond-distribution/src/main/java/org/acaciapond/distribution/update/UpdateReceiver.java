package org.acaciapond.distribution.update;

import org.acaciapond.config.version.ConfigException;
import org.acaciapond.config.version.ConfigVersion;

/**
 * Receiving end of a subscription; accepts each newer version whole or not at all.
 *
 * @param <S> checked state that is built from an accepted content
 */
public final class UpdateReceiver<S> {

  /** What becomes of an update. */
  public enum Decision {
    /** It is accepted and held. */
    ACCEPTED,
    /** Its version is not newer than the one held, or it is below the floor. */
    OLDER,
    /** Its version is the one held, with other content; a violation of I1 by the sender. */
    CONTRADICTION,
    /** It does not apply to the content held; the whole content is needed. */
    NEEDS_FULL,
    /** Its content breaks a rule; it is refused as a whole. */
    INVALID,
    /** The same version was refused before. */
    INVALID_AGAIN
  }

  /**
   * Builder that checks a content.
   *
   * @param <S> state that it builds
   */
  @FunctionalInterface
  public interface Builder<S> {

    /** Builds a state; throws {@link ConfigException} when the content breaks a rule. */
    S build(ConfigVersion version, ScopedContent content);
  }

  private final Builder<S> builder;
  private ConfigVersion version = ConfigVersion.NONE;
  private ConfigVersion floor = ConfigVersion.NONE;
  private ConfigVersion lastInvalid = ConfigVersion.NONE;
  private ScopedContent content = ScopedContent.EMPTY;
  private S state;

  /** Creates a receiver that holds an initial state of no version. */
  public UpdateReceiver(S initial, Builder<S> builder) {
    this.state = initial;
    this.builder = builder;
  }

  /** Raises the version below which nothing is accepted. */
  public void raiseFloor(ConfigVersion least) {
    if (least.isAfter(floor)) {
      floor = least;
    }
  }

  /** Takes an update. */
  public Decision offer(ConfigUpdate update) {
    if (update.version().contradicts(version)) {
      return Decision.CONTRADICTION;
    }
    if (!update.version().isAfter(version) || floor.isAfter(update.version())) {
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
      boolean again = next.equals(lastInvalid);
      lastInvalid = next;
      return again ? Decision.INVALID_AGAIN : Decision.INVALID;
    }
    version = next;
    content = nextContent;
    return Decision.ACCEPTED;
  }

  /** Returns the version held. */
  public ConfigVersion version() {
    return version;
  }

  /** Returns the content held. */
  public ScopedContent content() {
    return content;
  }

  /** Returns the state built from the content held. */
  public S state() {
    return state;
  }
}
