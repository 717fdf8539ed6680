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

/** Command {@code rollout SERVICE VERSION --by DURATION}: orders a rollout in the current text. */
public final class RolloutCommand implements Command {

  private static final Set<String> UNFINISHED_STATES = Set.of("MOVING", "LATE");

  @Override
  public ExitCode run(CommandContext context) {
    final Instant by = computeDeadline(context);
    HeadState base = HeadState.read(context.platform()).await().indefinitely();
    if (base.head().isEmpty()) {
      throw invalid("there is no configuration yet; apply one first");
    }
    String text = EditHistory.readText(context.platform(), base.parent()).await().indefinitely();
    RolloutEdit edit = RolloutEdit.of(text, context.argument(0));
    checkNotTakenBack(context);
    checkNoOtherRollout(context, edit);
    EditNote note = requestRollout(context, edit, by);
    ValidationResult result =
        ConfigTextValidator.validate(
            edit.text().getBytes(StandardCharsets.UTF_8),
            "version-" + (base.parent().sequence() + 1));
    if (!result.valid()) {
      context.output().printProblems(result);
      return ExitCode.INVALID_INPUT;
    }
    return EditPublication.publish(context, base, result.text(), note);
  }

  /** Edits the text and returns a note on the changes. */
  private static EditNote requestRollout(CommandContext context, RolloutEdit edit, Instant by) {
    String service = context.argument(0);
    String version = context.argument(1);
    String completed = completeFinishedRollout(context, edit, service);
    String replaced =
        edit.rolloutVersion().map(toVersion -> "; replaces the move to " + toVersion).orElse("");
    edit.requestRollout(version, by);
    return new EditNote(
        ": " + service + " moves to " + version + " by " + by + completed + replaced,
        Output.object()
            .put("service", service)
            .put("from", edit.currentVersion())
            .put("to", version)
            .put("by", by.toString()));
  }

  private static Instant computeDeadline(CommandContext context) {
    return context
        .options()
        .by()
        .map(duration -> context.time().now().plus(duration).truncatedTo(ChronoUnit.SECONDS))
        .orElseThrow(() -> invalid("rollout needs --by DURATION, for example --by 10m"));
  }

  /** Fails for a taken-back version: its record overrides the text, so no rollout could start. */
  private static void checkNotTakenBack(CommandContext context) {
    String key = TakeBackCommand.rowKey(context.argument(0), context.argument(1));
    Optional<Row> row = context.platform().readRow(key).await().indefinitely();
    if (row.isPresent()) {
      throw new CliException(
          CliErrorCode.CONFLICT,
          RowState.of(row.get()).line() + "; a version that was taken back cannot be rolled out",
          null);
    }
  }

  /**
   * Fails if a rollout to another version is not finished, because a new rollout would leave
   * traffic on that version.
   */
  private static void checkNoOtherRollout(CommandContext context, RolloutEdit edit) {
    Optional<String> toVersion = edit.rolloutVersion();
    if (toVersion.isEmpty() || toVersion.get().equals(context.argument(1))) {
      return;
    }
    Optional<RowState> row = readRolloutRow(context, context.argument(0), toVersion.get());
    if (row.isPresent() && UNFINISHED_STATES.contains(row.get().fields().path("state").asText())) {
      throw new CliException(
          CliErrorCode.CONFLICT,
          row.get().line() + " is not finished; take that version back or wait until it is done",
          Output.object().set("move", row.get().fields()),
          null);
    }
  }

  /**
   * Makes the version of a completed rollout the current one, from which the next rollout has to
   * start; returns the text that reports this.
   */
  private static String completeFinishedRollout(
      CommandContext context, RolloutEdit edit, String service) {
    Optional<String> toVersion = edit.rolloutVersion();
    if (toVersion.isEmpty() || !isDone(context, service, toVersion.get())) {
      return "";
    }
    edit.completeRollout();
    return "; the completed move makes " + toVersion.get() + " the current version";
  }

  private static boolean isDone(CommandContext context, String service, String toVersion) {
    return readRolloutRow(context, service, toVersion)
        .filter(row -> row.fields().path("state").asText().equals("DONE"))
        .isPresent();
  }

  /** Reads the rollout row of a service; empty unless the rollout is to the given version. */
  private static Optional<RowState> readRolloutRow(
      CommandContext context, String service, String toVersion) {
    return context
        .platform()
        .readRow(RowState.ROLLOUT_PREFIX + service)
        .await()
        .indefinitely()
        .map(RowState::of)
        .filter(row -> row.fields().path("to").asText().equals(toVersion));
  }

  private static CliException invalid(String message) {
    return new CliException(CliErrorCode.INVALID_INPUT, message, null);
  }
}
