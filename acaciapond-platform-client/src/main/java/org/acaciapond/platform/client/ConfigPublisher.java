package org.acaciapond.platform.client;

import io.smallrye.mutiny.Uni;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Supplier;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.config.version.ConfigCodec;
import org.acaciapond.config.version.ConfigEdit;
import org.acaciapond.config.version.ConfigException;
import org.acaciapond.config.version.ConfigVersion;
import org.jspecify.annotations.Nullable;

/** Publisher that makes an edit durable by one conditional write on the head. */
public final class ConfigPublisher {

  /**
   * Most edits between the head and an own edit that are walked to learn the fate of the latter.
   */
  private static final int MAX_WALK = 1_000;

  private static final ConfigHead BEFORE_FIRST = new ConfigHead(1, 0, "", "", "");

  private final PlatformClient platform;
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

  private Uni<PublishResult> propose(
      String text, String operator, @Nullable ConfigVersion expectedHead) {
    return platform
        .readRow(ConfigHead.KEY)
        .chain(row -> publishAfter(row, text, operator, expectedHead))
        .onFailure(PlatformException.class)
        .recoverWithItem(result(PublishResult.Outcome.UNAVAILABLE));
  }

  private Uni<PublishResult> publishAfter(
      Optional<Row> row, String text, String operator, @Nullable ConfigVersion expectedHead) {
    ConfigHead parent = row.map(r -> ConfigHead.decode(r.value())).orElse(BEFORE_FIRST);
    ConfigVersion current = row.isEmpty() ? ConfigVersion.NONE : parent.version();
    if (expectedHead != null && !expectedHead.equals(current)) {
      return Uni.createFrom()
          .item(
              new PublishResult(
                  PublishResult.Outcome.CONFLICT, current, row.isEmpty() ? null : parent));
    }
    ConfigEdit edit =
        new ConfigEdit(
            parent.epoch(),
            parent.sequence() + 1,
            parent.digest(),
            editIds.get(),
            operator,
            time.now(),
            text);
    long revision = row.map(Row::revision).orElse(0L);
    return platform
        .writeObject(ConfigCodec.encodeEdit(edit))
        .chain(digest -> advanceHead(headOf(edit, digest), revision));
  }

  private static ConfigHead headOf(ConfigEdit edit, String digest) {
    return new ConfigHead(edit.epoch(), edit.sequence(), digest, edit.editId(), edit.operator());
  }

  private Uni<PublishResult> advanceHead(ConfigHead proposed, long revision) {
    return platform
        .writeRow(ConfigHead.KEY, revision, proposed.encode())
        .chain(
            written ->
                written.outcome() == WriteResult.Outcome.APPLIED
                    ? Uni.createFrom().item(accepted(proposed))
                    : settle(proposed, written.outcome()));
  }

  /** Learns the fate of a write that is not known to have been applied from the head. */
  private Uni<PublishResult> settle(ConfigHead proposed, WriteResult.Outcome written) {
    PublishResult undecided =
        result(
            written == WriteResult.Outcome.NOT_APPLIED
                ? PublishResult.Outcome.UNAVAILABLE
                : PublishResult.Outcome.UNKNOWN);
    return platform
        .readRow(ConfigHead.KEY)
        .chain(
            row ->
                row.isEmpty()
                    ? Uni.createFrom().item(undecided)
                    : settleAgainst(proposed, ConfigHead.decode(row.get().value()), undecided))
        .onFailure(e -> e instanceof PlatformException || e instanceof ConfigException)
        .recoverWithItem(undecided);
  }

  private Uni<PublishResult> settleAgainst(
      ConfigHead proposed, ConfigHead head, PublishResult undecided) {
    if (head.epoch() != proposed.epoch() || head.sequence() < proposed.sequence()) {
      return Uni.createFrom().item(undecided);
    }
    Uni<Optional<ConfigHead>> sameSequence =
        head.sequence() == proposed.sequence()
            ? Uni.createFrom().item(Optional.of(head))
            : walk(proposed.sequence(), head.digest(), MAX_WALK);
    return sameSequence.map(
        found -> found.map(edit -> compare(proposed, edit, head)).orElse(undecided));
  }

  private static PublishResult compare(ConfigHead proposed, ConfigHead winner, ConfigHead head) {
    return winner.editId().equals(proposed.editId())
        ? accepted(proposed)
        : new PublishResult(PublishResult.Outcome.CONFLICT, head.version(), winner);
  }

  /** Follows the chain of parent digests back to the edit with a sequence. */
  private Uni<Optional<ConfigHead>> walk(long sequence, String digest, int stepsLeft) {
    return platform
        .readObject(digest)
        .chain(
            object -> {
              if (object.isEmpty() || stepsLeft == 0) {
                return Uni.createFrom().item(Optional.empty());
              }
              ConfigEdit edit = ConfigCodec.decodeEdit(object.get());
              return edit.sequence() == sequence
                  ? Uni.createFrom().item(Optional.of(headOf(edit, digest)))
                  : walk(sequence, edit.parentDigest(), stepsLeft - 1);
            });
  }

  private static PublishResult accepted(ConfigHead proposed) {
    return new PublishResult(PublishResult.Outcome.ACCEPTED, proposed.version(), null);
  }

  private static PublishResult result(PublishResult.Outcome outcome) {
    return new PublishResult(outcome, ConfigVersion.NONE, null);
  }
}
