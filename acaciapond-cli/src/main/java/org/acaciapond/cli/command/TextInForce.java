package org.acaciapond.cli.command;

import java.util.Optional;
import org.acaciapond.config.model.MeshConfig;
import org.acaciapond.config.text.ConfigTextParser;
import org.acaciapond.config.version.ConfigException;
import org.acaciapond.platform.client.ConfigHead;
import org.acaciapond.platform.client.EditHistory;
import org.acaciapond.platform.client.PlatformClient;

/** Reader of the configuration that the text in force states. */
final class TextInForce {

  private TextInForce() {}

  /** Reads the configuration of a head; empty without a head or for a text that is invalid. */
  static Optional<MeshConfig> read(PlatformClient platform, Optional<ConfigHead> head) {
    if (head.isEmpty()) {
      return Optional.empty();
    }
    String text = EditHistory.readText(platform, head.get()).await().indefinitely();
    try {
      return Optional.of(ConfigTextParser.parse(text));
    } catch (ConfigException e) {
      return Optional.empty();
    }
  }
}
