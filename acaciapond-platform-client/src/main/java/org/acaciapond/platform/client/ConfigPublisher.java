package org.acaciapond.platform.client;

import io.smallrye.mutiny.Uni;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Supplier;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.config.version.ConfigEdit;
import org.acaciapond.config.version.ConfigVersion;
import org.jspecify.annotations.Nullable;

/** Publisher that makes an edit durable by one conditional write on the head. */
public final class ConfigPublisher {

  /**
   * Most edits between the head and an own edit that are walked to learn the fate of the latter.
   */
  private static final int MAX_WALK = 1_000;

  /** Writes are repeated only while the head is unchanged, so that a repeat cannot do harm. */
  private static final int MAX_ATTEMPTS = 3;

  private final PlatformClient platform;
  private final EditWriter writer;
  private final TimeSource time;
  private final Supplier<String> editIds;

  /** Creates a publisher whose edits have random identities. */
  public ConfigPublisher(PlatformClient platform, TimeSource time) {
    this(platform, time, () -> UUID.randomUUID().toString());
  }

  /**
   * Creates a publisher.
   *
   * @param platform where edits are kept
   * @param time clock
   * @param editIds returns an identity that no other edit has
   */
  public ConfigPublisher(PlatformClient platform, TimeSource time, Supplier<String> editIds) {
    this.platform = platform;
    this.writer = new EditWriter(platform);
    this.time = time;
    this.editIds = editIds;
  }

  /** Proposes a text as the edit after the head that is read now. */
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
   * that an edit made meanwhile is a conflict and not overwritten.
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
   * Writes the head.
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
                    : settleOrRepeat(
                        base,
                        proposed,
                        attempt,
                        uncertain || written.outcome() == WriteResult.Outcome.UNKNOWN));
  }

  private Uni<PublishResult> settleOrRepeat(
      HeadState base, ConfigHead proposed, int attempt, boolean uncertain) {
    return settle(base, proposed)
        .chain(
            settled -> {
              if (settled.isPresent()) {
                return Uni.createFrom().item(settled.get());
              }
              return attempt < MAX_ATTEMPTS
                  ? advanceHead(base, proposed, attempt + 1, uncertain)
                  : Uni.createFrom()
                      .item(
                          result(
                              uncertain
                                  ? PublishResult.Outcome.UNKNOWN
                                  : PublishResult.Outcome.UNAVAILABLE));
            });
  }

  /** Reads back what became of the edit; empty while the head is unchanged or unreadable. */
  private Uni<Optional<PublishResult>> settle(HeadState base, ConfigHead proposed) {
    return HeadState.read(platform)
        .chain(
            now ->
                now.revision() == base.revision()
                    ? Uni.createFrom().item(Optional.<PublishResult>empty())
                    : judge(now.parent(), proposed).map(Optional::of))
        .onFailure(PlatformException.class)
        .recoverWithItem(Optional.empty());
  }

  /** Finds the edit that took the position of the proposed one. */
  private Uni<PublishResult> judge(ConfigHead now, ConfigHead proposed) {
    if (now.epoch() != proposed.epoch() || now.sequence() < proposed.sequence()) {
      return Uni.createFrom().item(result(PublishResult.Outcome.UNKNOWN));
    }
    return walk(now, proposed.sequence(), new EditHistory(platform, now), MAX_WALK)
        .map(winner -> winner.map(edit -> compare(proposed, edit)))
        .map(compared -> compared.orElse(result(PublishResult.Outcome.UNKNOWN)));
  }

  private static PublishResult compare(ConfigHead proposed, ConfigHead winner) {
    return winner.editId().equals(proposed.editId())
        ? accepted(proposed)
        : conflict(winner.version(), winner);
  }

  /** Follows the chain of parent digests back to the edit with a sequence. */
  private static Uni<Optional<ConfigHead>> walk(
      ConfigHead edit, long sequence, EditHistory chain, int stepsLeft) {
    if (edit.sequence() == sequence) {
      return Uni.createFrom().item(Optional.of(edit));
    }
    return stepsLeft == 0 || !chain.hasNext()
        ? Uni.createFrom().item(Optional.empty())
        : chain.next().chain(entry -> walk(entry.toHead(), sequence, chain, stepsLeft - 1));
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
