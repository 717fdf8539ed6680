package org.acaciapond.cli.command;

import org.acaciapond.cli.output.Output;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.platform.client.PlatformClient;

/**
 * What a command works with.
 *
 * @param platform platform
 * @param nodes reader of the status of nodes
 * @param time clock
 * @param pause pause between two rounds of a watch
 * @param output where results and errors go
 * @param options arguments and options
 */
public record CommandContext(
    PlatformClient platform,
    NodeStatusReader nodes,
    TimeSource time,
    Pause pause,
    Output output,
    CommandOptions options) {

  /** Returns an argument of the command. */
  String argument(int index) {
    return options.arguments().get(index);
  }
}
