package org.acaciapond.platform.client;

import io.smallrye.mutiny.Uni;
import java.util.Optional;
import java.util.UUID;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.config.version.ConfigCodec;
import org.acaciapond.config.version.ConfigEdit;
import org.acaciapond.config.version.ConfigVersion;

/** Publisher that makes an edit durable by one conditional write on the head. */
public final class ConfigPublisher {

  private final PlatformClient platform;
  private final TimeSource time;

  /** Creates a publisher. */
  public ConfigPublisher(PlatformClient platform, TimeSource time) {
    this.platform = platform;
    this.time = time;
  }

  /** Proposes a text as the edit after the head that is read now. */
  public Uni<PublishResult> publish(String text, String operator) {
    return platform
        .readRow(ConfigHead.KEY)
        .chain(row -> publishAfter(row, text, operator))
        .onFailure(PlatformException.class)
        .recoverWithItem(
            new PublishResult(PublishResult.Outcome.UNAVAILABLE, ConfigVersion.NONE, null));
  }

  private Uni<PublishResult> publishAfter(Optional<Row> row, String text, String operator) {
    long revision = row.map(Row::revision).orElse(0L);
    ConfigHead parent =
        row.map(r -> ConfigHead.decode(r.value())).orElse(new ConfigHead(1, 0, "", "", ""));
    ConfigEdit edit =
        new ConfigEdit(
            parent.epoch(),
            parent.sequence() + 1,
            parent.digest(),
            UUID.randomUUID().toString(),
            operator,
            time.now(),
            text);
    return platform
        .writeObject(ConfigCodec.encodeEdit(edit))
        .chain(digest -> advanceHead(edit, digest, revision));
  }

  private Uni<PublishResult> advanceHead(ConfigEdit edit, String digest, long revision) {
    ConfigHead head =
        new ConfigHead(edit.epoch(), edit.sequence(), digest, edit.editId(), edit.operator());
    return platform
        .writeRow(ConfigHead.KEY, revision, head.encode())
        .chain(
            result ->
                result.outcome() == WriteResult.Outcome.APPLIED
                    ? Uni.createFrom()
                        .item(
                            new PublishResult(PublishResult.Outcome.ACCEPTED, head.version(), null))
                    : settle(head));
  }

  private Uni<PublishResult> settle(ConfigHead proposed) {
    return platform
        .readRow(ConfigHead.KEY)
        .map(row -> settleAgainst(proposed, row))
        .onFailure(PlatformException.class)
        .recoverWithItem(
            new PublishResult(PublishResult.Outcome.UNKNOWN, ConfigVersion.NONE, null));
  }

  private static PublishResult settleAgainst(ConfigHead proposed, Optional<Row> row) {
    ConfigHead head = row.map(r -> ConfigHead.decode(r.value())).orElse(null);
    if (head == null) {
      return new PublishResult(PublishResult.Outcome.UNKNOWN, ConfigVersion.NONE, null);
    }
    if (head.editId().equals(proposed.editId())) {
      return new PublishResult(PublishResult.Outcome.ACCEPTED, head.version(), null);
    }
    return new PublishResult(PublishResult.Outcome.CONFLICT, head.version(), head);
  }
}
