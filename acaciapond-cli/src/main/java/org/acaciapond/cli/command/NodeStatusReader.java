package org.acaciapond.cli.command;

import org.acaciapond.config.version.ConfigVersion;

/** Reader of the active version of a node. */
@FunctionalInterface
public interface NodeStatusReader {

  /**
   * Reads the active version.
   *
   * @param address ip:port of the admin listener
   * @throws org.acaciapond.cli.output.CliException if the node gives no usable response
   */
  ConfigVersion read(String address);
}
