package org.acaciapond.cli.command;

import org.acaciapond.cli.output.CliException;
import org.acaciapond.cli.output.ExitCode;

/** Command that an operator runs. */
@FunctionalInterface
public interface Command {

  /**
   * Runs the command.
   *
   * @return exit code of the process
   * @throws CliException if the command fails, with a message for the operator
   */
  ExitCode run(CommandContext context);
}
