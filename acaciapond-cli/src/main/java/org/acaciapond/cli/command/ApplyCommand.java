package org.acaciapond.cli.command;

import java.util.Optional;
import org.acaciapond.cli.output.ExitCode;
import org.acaciapond.config.text.ValidationResult;
import org.acaciapond.platform.client.HeadState;

/** Command {@code apply FILE}: publishes a valid text as the edit after the head. */
public final class ApplyCommand implements Command {

  @Override
  public ExitCode run(CommandContext context) {
    ValidationResult result = TextFiles.validate(context.argument(0));
    if (!result.valid()) {
      context.output().problems(result.problems());
      return ExitCode.INVALID_INPUT;
    }
    HeadState base = HeadState.read(context.platform()).await().indefinitely();
    Optional<Long> expected = context.options().expect();
    if (expected.isPresent() && expected.get() != base.parent().sequence()) {
      throw EditPublication.conflict(expected.get(), base.parent());
    }
    return EditPublication.publish(context, base, result.text(), EditNote.none());
  }
}
