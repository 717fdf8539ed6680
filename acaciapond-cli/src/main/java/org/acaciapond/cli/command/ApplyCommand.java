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
      context.output().problems(result);
      return ExitCode.INVALID_INPUT;
    }
    HeadState base = HeadState.read(context.platform()).await().indefinitely();
    Optional<Long> expected = context.options().expect();
    if (expected.isPresent() && expected.get() != base.parent().sequence()) {
      throw EditPublication.conflict(expected.get(), base.parent());
    }
    ValidationResult checked = checkMoves(context, base, result);
    if (!checked.valid()) {
      context.output().problems(checked);
      return ExitCode.INVALID_INPUT;
    }
    return EditPublication.publish(context, base, result.text(), EditNote.none());
  }

  /** Reads the text in force only when a move of the new one may be late from the start. */
  private static ValidationResult checkMoves(
      CommandContext context, HeadState base, ValidationResult result) {
    Instant now = context.time().now();
    if (!PastRolloutCheck.hasPastRollout(result.config().orElseThrow(), now)) {
      return result;
    }
    Optional<MeshConfig> inForce = TextInForce.read(context.platform(), base.head());
    return PastRolloutCheck.check(result, inForce, now, context.argument(0));
  }
}
