package org.acaciapond.cli.command;

import org.acaciapond.cli.output.Output;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.platform.client.PlatformClient;

/**
 * Services, arguments and options of a command.
 *
 * @param platform client of the platform
 * @param nodes reader of the status of nodes
 * @param explainer client that asks nodes about requests
 * @param time clock
 * @param pause pause between two polls of the watch command
 * @param output printer of results and errors
 * @param options arguments and options of the command
 */
public record CommandContext(
    PlatformClient platform,
    NodeStatusReader nodes,
    NodeExplainer explainer,
    TimeSource time,
    Pause pause,
    Output output,
    CommandOptions options) {

  /** Returns an argument of the command. */
  String argument(int index) {
    return options.arguments().get(index);
  }
}
