package org.acaciapond.platform.client;

import io.smallrye.mutiny.Uni;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Supplier;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.config.version.ConfigEdit;
import org.acaciapond.config.version.ConfigVersion;
import org.jspecify.annotations.Nullable;

/** Publisher of configuration edits; one conditional write of the head makes an edit durable. */
public final class ConfigPublisher {

  /**
   * Limit of the edits read from the head back to the proposed sequence to find out whether the
   * proposed edit was accepted.
   */
  private static final int MAX_EDITS_READ = 1_000;

  /** A write is retried only while the head is unchanged, so a retry cannot overwrite an edit. */
  private static final int MAX_WRITE_ATTEMPTS = 3;

  private final PlatformClient platform;
  private final EditWriter writer;
  private final TimeSource time;
  private final Supplier<String> editIds;

  /** Creates a publisher whose edits have random identifiers. */
  public ConfigPublisher(PlatformClient platform, TimeSource time) {
    this(platform, time, () -> UUID.randomUUID().toString());
  }

  /**
   * Creates a publisher.
   *
   * @param platform platform that stores the edits
   * @param time clock
   * @param editIds supplier of unique edit identifiers
   */
  public ConfigPublisher(PlatformClient platform, TimeSource time, Supplier<String> editIds) {
    this.platform = platform;
    this.writer = new EditWriter(platform);
    this.time = time;
    this.editIds = editIds;
  }

  /** Reads the head and proposes a text as the edit after it. */
  public Uni<PublishResult> publish(String text, String operator) {
    return propose(text, operator, null);
  }

  /**
   * Proposes a text as the edit after an expected head.
   *
   * @param text whole configuration text
   * @param operator who makes the edit
   * @param expectedHead version that the text was derived from; {@link ConfigVersion#NONE} when
   *     there should be no edit yet
   */
  public Uni<PublishResult> publish(String text, String operator, ConfigVersion expectedHead) {
    return propose(text, operator, expectedHead);
  }

  /**
   * Proposes a text as the edit after a head that was read before. The head is not read again, so
   * that an edit made in the meantime is reported as a conflict and not overwritten.
   */
  public Uni<PublishResult> publish(HeadState base, String text, String operator) {
    return publishAfter(base, text, operator)
        .onFailure(PlatformException.class)
        .recoverWithItem(result(PublishResult.Outcome.UNAVAILABLE));
  }

  private Uni<PublishResult> propose(
      String text, String operator, @Nullable ConfigVersion expectedHead) {
    return HeadState.read(platform)
        .chain(
            base ->
                expectedHead == null || expectedHead.equals(base.version())
                    ? publishAfter(base, text, operator)
                    : Uni.createFrom().item(conflict(base.version(), base.head().orElse(null))))
        .onFailure(PlatformException.class)
        .recoverWithItem(result(PublishResult.Outcome.UNAVAILABLE));
  }

  private Uni<PublishResult> publishAfter(HeadState base, String text, String operator) {
    ConfigHead parent = base.parent();
    ConfigEdit draft =
        new ConfigEdit(
            parent.epoch(),
            parent.sequence() + 1,
            parent.digest(),
            editIds.get(),
            operator,
            time.now(),
            "",
            0,
            null);
    return writer
        .write(base.head(), draft, text)
        .chain(entry -> advanceHead(base, entry.toHead(), 1, false));
  }

  /**
   * Writes the proposed head if the head still has the base revision.
   *
   * @param uncertain whether an earlier attempt may still take effect
   */
  private Uni<PublishResult> advanceHead(
      HeadState base, ConfigHead proposed, int attempt, boolean uncertain) {
    return platform
        .writeRow(ConfigHead.KEY, base.revision(), proposed.encode())
        .chain(
            written ->
                written.outcome() == WriteResult.Outcome.APPLIED
                    ? Uni.createFrom().item(accepted(proposed))
                    : resolveOrRetry(
                        base,
                        proposed,
                        attempt,
                        uncertain || written.outcome() == WriteResult.Outcome.UNKNOWN));
  }

  private Uni<PublishResult> resolveOrRetry(
      HeadState base, ConfigHead proposed, int attempt, boolean uncertain) {
    return resolveOutcome(base, proposed)
        .chain(
            resolved -> {
              if (resolved.isPresent()) {
                return Uni.createFrom().item(resolved.get());
              }
              return attempt < MAX_WRITE_ATTEMPTS
                  ? advanceHead(base, proposed, attempt + 1, uncertain)
                  : Uni.createFrom()
                      .item(
                          result(
                              uncertain
                                  ? PublishResult.Outcome.UNKNOWN
                                  : PublishResult.Outcome.UNAVAILABLE));
            });
  }

  /** Reads the head back and resolves the outcome; empty if it is unchanged or unreadable. */
  private Uni<Optional<PublishResult>> resolveOutcome(HeadState base, ConfigHead proposed) {
    return HeadState.read(platform)
        .chain(
            now ->
                now.revision() == base.revision()
                    ? Uni.createFrom().item(Optional.<PublishResult>empty())
                    : compareWithHead(now.parent(), proposed).map(Optional::of))
        .onFailure(PlatformException.class)
        .recoverWithItem(Optional.empty());
  }

  /** Finds the accepted edit with the sequence of the proposed one and compares the two. */
  private Uni<PublishResult> compareWithHead(ConfigHead now, ConfigHead proposed) {
    if (now.epoch() != proposed.epoch() || now.sequence() < proposed.sequence()) {
      return Uni.createFrom().item(result(PublishResult.Outcome.UNKNOWN));
    }
    return findEdit(now, proposed.sequence(), new EditHistory(platform, now), MAX_EDITS_READ)
        .map(acceptedEdit -> acceptedEdit.map(edit -> toResult(proposed, edit)))
        .map(result -> result.orElse(result(PublishResult.Outcome.UNKNOWN)));
  }

  private static PublishResult toResult(ConfigHead proposed, ConfigHead acceptedEdit) {
    return acceptedEdit.editId().equals(proposed.editId())
        ? accepted(proposed)
        : conflict(acceptedEdit.version(), acceptedEdit);
  }

  /** Follows the parent digests back to the edit with a sequence. */
  private static Uni<Optional<ConfigHead>> findEdit(
      ConfigHead edit, long sequence, EditHistory history, int readsLeft) {
    if (edit.sequence() == sequence) {
      return Uni.createFrom().item(Optional.of(edit));
    }
    return readsLeft == 0 || !history.hasNext()
        ? Uni.createFrom().item(Optional.empty())
        : history.next().chain(entry -> findEdit(entry.toHead(), sequence, history, readsLeft - 1));
  }

  private static PublishResult accepted(ConfigHead proposed) {
    return new PublishResult(PublishResult.Outcome.ACCEPTED, proposed.version(), null);
  }

  private static PublishResult conflict(ConfigVersion version, @Nullable ConfigHead other) {
    return new PublishResult(PublishResult.Outcome.CONFLICT, version, other);
  }

  private static PublishResult result(PublishResult.Outcome outcome) {
    return new PublishResult(outcome, ConfigVersion.NONE, null);
  }
}
