package org.acaciapond.cli.command;

import org.acaciapond.cli.output.ExitCode;
import org.acaciapond.cli.output.Output;
import org.acaciapond.config.text.ValidationResult;

/** Command {@code validate FILE}: reports all problems of a text, without the platform. */
public final class ValidateCommand implements Command {

  @Override
  public ExitCode run(CommandContext context) {
    String file = context.argument(0);
    ValidationResult result = TextFiles.validate(file);
    if (!result.valid()) {
      context.output().printProblems(result);
      return ExitCode.INVALID_INPUT;
    }
    int services = result.config().orElseThrow().services().size();
    context
        .output()
        .printOutcome(
            "VALID",
            Output.object().put("file", file).put("services", services),
            file + " is valid; services: " + services);
    return ExitCode.DONE;
  }
}
