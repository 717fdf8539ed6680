package org.acaciapond.cli.command;

import org.acaciapond.config.version.ConfigVersion;

/** Reader of the version that is in force at a node. */
@FunctionalInterface
public interface NodeStatusReader {

  /**
   * Reads the version in force.
   *
   * @param address ip:port of the admin listener
   * @throws org.acaciapond.cli.output.CliException when the node gives no usable answer
   */
  ConfigVersion read(String address);
}
