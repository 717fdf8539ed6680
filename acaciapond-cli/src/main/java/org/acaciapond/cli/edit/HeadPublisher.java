package org.acaciapond.cli.edit;

import java.util.Optional;
import java.util.UUID;
import org.acaciapond.cli.output.CliException;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.config.version.ConfigCodec;
import org.acaciapond.config.version.ConfigEdit;
import org.acaciapond.config.version.ConfigVersion;
import org.acaciapond.platform.client.ConfigHead;
import org.acaciapond.platform.client.PlatformClient;
import org.acaciapond.platform.client.PlatformException;
import org.acaciapond.platform.client.PublishResult;
import org.acaciapond.platform.client.WriteResult;

/**
 * Publisher of an edit after a head that the operator has seen.
 *
 * <p>Unlike {@link org.acaciapond.platform.client.ConfigPublisher} it does not read the head again,
 * so that an edit made meanwhile is a conflict and not overwritten.
 */
public final class HeadPublisher {

  /** Writes are repeated only while the head is unchanged, so that a repeat cannot do harm. */
  private static final int MAX_ATTEMPTS = 3;

  private final PlatformClient platform;
  private final TimeSource time;

  /** Creates a publisher. */
  public HeadPublisher(PlatformClient platform, TimeSource time) {
    this.platform = platform;
    this.time = time;
  }

  /** Publishes a text as the edit that follows a head. */
  public PublishResult publish(HeadState base, String text, String operator) {
    ConfigHead parent = base.parent();
    ConfigEdit edit =
        new ConfigEdit(
            parent.epoch(),
            parent.sequence() + 1,
            parent.digest(),
            UUID.randomUUID().toString(),
            operator,
            time.now(),
            text);
    String digest;
    try {
      digest = platform.writeObject(ConfigCodec.encodeEdit(edit)).await().indefinitely();
    } catch (PlatformException e) {
      return result(PublishResult.Outcome.UNAVAILABLE);
    }
    return advance(base, new EditChain.Entry(digest, edit).toHead());
  }

  private PublishResult advance(HeadState base, ConfigHead proposed) {
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      WriteResult write =
          platform
              .writeRow(ConfigHead.KEY, base.revision(), proposed.encode())
              .await()
              .indefinitely();
      if (write.outcome() == WriteResult.Outcome.APPLIED) {
        return new PublishResult(PublishResult.Outcome.ACCEPTED, proposed.version(), null);
      }
      Optional<PublishResult> settled = settle(base, proposed);
      if (settled.isPresent()) {
        return settled.get();
      }
    }
    return result(PublishResult.Outcome.UNKNOWN);
  }

  /** Reads back what became of the edit; empty while the head is unchanged or unreadable. */
  private Optional<PublishResult> settle(HeadState base, ConfigHead proposed) {
    try {
      HeadState now = HeadState.read(platform);
      if (now.revision() == base.revision()) {
        return Optional.empty();
      }
      return Optional.of(judge(now.parent(), proposed));
    } catch (PlatformException | CliException e) {
      return Optional.empty();
    }
  }

  /** Finds the edit that took the position of the proposed one. */
  private PublishResult judge(ConfigHead now, ConfigHead proposed) {
    if (now.epoch() != proposed.epoch() || now.sequence() < proposed.sequence()) {
      return result(PublishResult.Outcome.UNKNOWN);
    }
    ConfigHead winner = now;
    EditChain chain = new EditChain(platform, now);
    while (winner.sequence() > proposed.sequence()) {
      winner = chain.next().toHead();
    }
    return winner.editId().equals(proposed.editId())
        ? new PublishResult(PublishResult.Outcome.ACCEPTED, proposed.version(), null)
        : new PublishResult(PublishResult.Outcome.CONFLICT, winner.version(), winner);
  }

  private static PublishResult result(PublishResult.Outcome outcome) {
    return new PublishResult(outcome, ConfigVersion.NONE, null);
  }
}
