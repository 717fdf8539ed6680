package org.acaciapond.cli.command;

import java.time.Instant;
import java.util.Optional;
import org.acaciapond.cli.output.ExitCode;
import org.acaciapond.config.model.MeshConfig;
import org.acaciapond.config.text.PastRolloutCheck;
import org.acaciapond.config.text.ValidationResult;
import org.acaciapond.platform.client.HeadState;

/** Command {@code apply FILE}: publishes a valid text as the edit after the head. */
public final class ApplyCommand implements Command {

  @Override
  public ExitCode run(CommandContext context) {
    ValidationResult result = TextFiles.validate(context.argument(0));
    if (!result.valid()) {
      context.output().printProblems(result);
      return ExitCode.INVALID_INPUT;
    }
    HeadState base = HeadState.read(context.platform()).await().indefinitely();
    Optional<Long> expected = context.options().expect();
    if (expected.isPresent() && expected.get() != base.parent().sequence()) {
      throw EditPublication.conflict(expected.get(), base.parent());
    }
    ValidationResult checked = checkPastRollouts(context, base, result);
    if (!checked.valid()) {
      context.output().printProblems(checked);
      return ExitCode.INVALID_INPUT;
    }
    return EditPublication.publish(context, base, result.text(), EditNote.none());
  }

  /** Checks for new rollouts with a past deadline; reads the current text only if there are any. */
  private static ValidationResult checkPastRollouts(
      CommandContext context, HeadState base, ValidationResult result) {
    Instant now = context.time().now();
    if (!PastRolloutCheck.hasPastRollout(result.config().orElseThrow(), now)) {
      return result;
    }
    Optional<MeshConfig> current = CurrentConfigReader.read(context.platform(), base.head());
    return PastRolloutCheck.check(result, current, now, context.argument(0));
  }
}
