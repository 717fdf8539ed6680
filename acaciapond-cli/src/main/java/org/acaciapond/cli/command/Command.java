package org.acaciapond.cli.command;

import org.acaciapond.cli.output.CliException;
import org.acaciapond.cli.output.ExitCode;

/** One command of the operators. */
@FunctionalInterface
public interface Command {

  /**
   * Runs the command.
   *
   * @return exit code of the process
   * @throws CliException with a message for the operator
   */
  ExitCode run(CommandContext context);
}
