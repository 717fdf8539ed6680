package org.acaciapond.node.distribution;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.acaciapond.config.version.ConfigVersion;
import org.acaciapond.membership.GossipEntry;
import org.acaciapond.membership.GossipStore;

/** Gossip entry {@code head}: the highest version that is active on any node. */
final class GossipHead {

  static final String KEY = "head";

  /** Number of sequences per epoch in the revision of the entry. */
  private static final long SEQUENCES_PER_EPOCH = 1L << 40;

  private static final int FIELDS = 3;

  private GossipHead() {}

  static void publish(GossipStore gossip, ConfigVersion version) {
    String text = version.epoch() + " " + version.sequence() + " " + version.digest();
    gossip.publish(
        new GossipEntry(
            KEY,
            version.epoch() * SEQUENCES_PER_EPOCH + version.sequence(),
            text.getBytes(StandardCharsets.UTF_8)));
  }

  /** Returns the version in the gossip entry; empty if the entry is absent or malformed. */
  static Optional<ConfigVersion> read(GossipStore gossip) {
    return gossip.get(KEY).flatMap(GossipHead::decode);
  }

  private static Optional<ConfigVersion> decode(GossipEntry entry) {
    String[] fields = new String(entry.value(), StandardCharsets.UTF_8).split(" ");
    if (fields.length != FIELDS) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new ConfigVersion(Long.parseLong(fields[0]), Long.parseLong(fields[1]), fields[2]));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}
