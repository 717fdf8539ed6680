package org.acaciapond.platform.client;

import io.smallrye.mutiny.Uni;
import java.util.Optional;
import org.acaciapond.config.version.ConfigVersion;

/**
 * Snapshot of the head of the configuration.
 *
 * @param revision revision of the row of the head; 0 if there is no configuration yet
 * @param head value of the row; empty if there is no configuration yet
 */
public record HeadState(long revision, Optional<ConfigHead> head) {

  private static final ConfigHead BEFORE_FIRST = new ConfigHead(1, 0, "", "", "");

  /** Reads the head. */
  public static Uni<HeadState> read(PlatformClient platform) {
    return platform
        .readRow(ConfigHead.KEY)
        .map(
            row ->
                new HeadState(
                    row.map(Row::revision).orElse(0L), row.map(r -> ConfigHead.decode(r.value()))));
  }

  /** Returns the parent of the next edit: the head, or sequence 0 before the first edit. */
  public ConfigHead parent() {
    return head.orElse(BEFORE_FIRST);
  }

  /** Returns the version that the head names; {@link ConfigVersion#NONE} before the first edit. */
  public ConfigVersion version() {
    return head.map(ConfigHead::version).orElse(ConfigVersion.NONE);
  }
}
