package org.acaciapond.cli.command;

import java.util.Optional;
import org.acaciapond.config.model.MeshConfig;
import org.acaciapond.config.text.ConfigTextParser;
import org.acaciapond.config.version.ConfigException;
import org.acaciapond.platform.client.ConfigHead;
import org.acaciapond.platform.client.EditHistory;
import org.acaciapond.platform.client.PlatformClient;

/** Reader of the current configuration. */
final class CurrentConfigReader {

  private CurrentConfigReader() {}

  /** Reads the configuration of a head; empty if there is no head or the text is invalid. */
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
