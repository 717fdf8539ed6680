package org.acaciapond.cli.command;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Optional;
import java.util.Set;
import org.acaciapond.cli.edit.RolloutEdit;
import org.acaciapond.cli.output.CliErrorCode;
import org.acaciapond.cli.output.CliException;
import org.acaciapond.cli.output.ExitCode;
import org.acaciapond.cli.output.Output;
import org.acaciapond.config.text.ConfigTextValidator;
import org.acaciapond.config.text.ValidationResult;
import org.acaciapond.platform.client.EditHistory;
import org.acaciapond.platform.client.HeadState;
import org.acaciapond.platform.client.Row;

/** Command {@code rollout SERVICE VERSION --by DURATION}: requests a move in the text in force. */
public final class RolloutCommand implements Command {

  private static final Set<String> UNFINISHED = Set.of("MOVING", "LATE");

  @Override
  public ExitCode run(CommandContext context) {
    final Instant by = deadline(context);
    HeadState base = HeadState.read(context.platform()).await().indefinitely();
    if (base.head().isEmpty()) {
      throw invalid("there is no configuration yet; apply one first");
    }
    String text = EditHistory.readText(context.platform(), base.parent()).await().indefinitely();
    RolloutEdit edit = RolloutEdit.of(text, context.argument(0));
    refuseTakenBack(context);
    refuseWhileMoving(context, edit);
    EditNote note = request(context, edit, by);
    ValidationResult result =
        ConfigTextValidator.validate(
            edit.text().getBytes(StandardCharsets.UTF_8),
            "version-" + (base.parent().sequence() + 1));
    if (!result.valid()) {
      context.output().problems(result);
      return ExitCode.INVALID_INPUT;
    }
    return EditPublication.publish(context, base, result.text(), note);
  }

  /** Edits the text and returns what was changed. */
  private static EditNote request(CommandContext context, RolloutEdit edit, Instant by) {
    String service = context.argument(0);
    String version = context.argument(1);
    String completed = completeFinishedMove(context, edit, service);
    String replaced =
        edit.presentTarget().map(target -> "; replaces the move to " + target).orElse("");
    edit.moveTo(version, by);
    return new EditNote(
        ": " + service + " moves to " + version + " by " + by + completed + replaced,
        Output.object()
            .put("service", service)
            .put("from", edit.currentVersion())
            .put("to", version)
            .put("by", by.toString()));
  }

  private static Instant deadline(CommandContext context) {
    return context
        .options()
        .by()
        .map(duration -> context.time().now().plus(duration).truncatedTo(ChronoUnit.SECONDS))
        .orElseThrow(() -> invalid("rollout needs --by DURATION, for example --by 10m"));
  }

  /** A taken-back fact overrides the text, so that the rollout could never start. */
  private static void refuseTakenBack(CommandContext context) {
    String key = TakeBackCommand.key(context.argument(0), context.argument(1));
    Optional<Row> row = context.platform().readRow(key).await().indefinitely();
    if (row.isPresent()) {
      throw new CliException(
          CliErrorCode.CONFLICT,
          RowState.of(row.get()).line() + "; a version that was taken back cannot be rolled out",
          null);
    }
  }

  /** A move under way has traffic on its version, which another move would leave behind. */
  private static void refuseWhileMoving(CommandContext context, RolloutEdit edit) {
    Optional<String> target = edit.presentTarget();
    if (target.isEmpty() || target.get().equals(context.argument(1))) {
      return;
    }
    Optional<RowState> row = rolloutRow(context, context.argument(0), target.get());
    if (row.isPresent() && UNFINISHED.contains(row.get().fields().path("state").asText())) {
      throw new CliException(
          CliErrorCode.CONFLICT,
          row.get().line() + " is not finished; take that version back or wait until it is done",
          Output.object().set("move", row.get().fields()),
          null);
    }
  }

  /** Keeps a completed move: the next one has to start from the version it moved to. */
  private static String completeFinishedMove(
      CommandContext context, RolloutEdit edit, String service) {
    Optional<String> target = edit.presentTarget();
    if (target.isEmpty() || !isDone(context, service, target.get())) {
      return "";
    }
    edit.completeMove();
    return "; the completed move makes " + target.get() + " the current version";
  }

  private static boolean isDone(CommandContext context, String service, String target) {
    return rolloutRow(context, service, target)
        .filter(row -> row.fields().path("state").asText().equals("DONE"))
        .isPresent();
  }

  /** Reads the rollout row of a service if it is about a version. */
  private static Optional<RowState> rolloutRow(
      CommandContext context, String service, String target) {
    return context
        .platform()
        .readRow(RowState.ROLLOUT_PREFIX + service)
        .await()
        .indefinitely()
        .map(RowState::of)
        .filter(row -> row.fields().path("to").asText().equals(target));
  }

  private static CliException invalid(String message) {
    return new CliException(CliErrorCode.INVALID_INPUT, message, null);
  }
}
