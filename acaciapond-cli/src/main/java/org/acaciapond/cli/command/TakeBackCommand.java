package org.acaciapond.cli.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import org.acaciapond.cli.edit.RolloutEdit;
import org.acaciapond.cli.output.CliErrorCode;
import org.acaciapond.cli.output.CliException;
import org.acaciapond.cli.output.ExitCode;
import org.acaciapond.cli.output.Output;
import org.acaciapond.platform.client.EditHistory;
import org.acaciapond.platform.client.HeadState;
import org.acaciapond.platform.client.PlatformException;
import org.acaciapond.platform.client.Row;
import org.acaciapond.platform.client.TableKeys;
import org.acaciapond.platform.client.WriteResult;

/** Command {@code take-back SERVICE VERSION}: records that a version must get no traffic. */
public final class TakeBackCommand implements Command {

  /** A write only creates an absent row, so a retry cannot overwrite a row. */
  private static final int MAX_WRITE_ATTEMPTS = 3;

  /** Returns the key of the row of a taken-back version. */
  static String rowKey(String service, String version) {
    return RowState.TAKEN_BACK_PREFIX + service + "/" + version;
  }

  @Override
  public ExitCode run(CommandContext context) {
    String service = context.argument(0);
    String version = context.argument(1);
    checkVersion(context, service, version);
    String key = rowKey(service, version);
    byte[] value = createRowValue(context).toString().getBytes(StandardCharsets.UTF_8);
    for (int attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
      WriteResult write = context.platform().writeRow(key, 0, value).await().indefinitely();
      if (write.outcome() == WriteResult.Outcome.APPLIED) {
        notifyPollers(context);
        return report(context, service, version, "TAKEN_BACK", " is taken back");
      }
      Optional<Row> existing = readBack(context, key);
      if (existing.isPresent()) {
        notifyPollers(context);
        // An equal value means that this write took effect and only its response was lost.
        return Arrays.equals(existing.get().value(), value)
            ? report(context, service, version, "TAKEN_BACK", " is taken back")
            : report(
                context,
                service,
                version,
                "ALREADY_TAKEN_BACK",
                " was taken back already (" + RowState.of(existing.get()).line() + ")");
      }
    }
    throw new CliException(
        CliErrorCode.UNKNOWN,
        "outcome unknown: "
            + service
            + " version "
            + version
            + " may or may not be taken back;"
            + " run the command again, which is safe",
        null);
  }

  /** Updates the index row; without it, pollers see the change only at the next 30 s full read. */
  private static void notifyPollers(CommandContext context) {
    Optional<Row> index = readBack(context, TableKeys.TAKEN_BACK_INDEX);
    long revision = index.map(Row::revision).orElse(0L);
    byte[] value = Output.object().toString().getBytes(StandardCharsets.UTF_8);
    context.platform().writeRow(TableKeys.TAKEN_BACK_INDEX, revision, value).await().indefinitely();
  }

  /** Rejects the current version, and an unlisted one: a mistyped name would have no effect. */
  private static void checkVersion(CommandContext context, String service, String version) {
    HeadState head = HeadState.read(context.platform()).await().indefinitely();
    if (head.head().isEmpty()) {
      throw invalid("there is no configuration yet");
    }
    String text = EditHistory.readText(context.platform(), head.parent()).await().indefinitely();
    RolloutEdit edit = RolloutEdit.of(text, service);
    if (!edit.hasVersion(version)) {
      throw invalid("service \"" + service + "\" has no version \"" + version + "\"");
    }
    if (edit.currentVersion().equals(version)) {
      throw invalid(
          "\"%s\" is the current version of service \"%s\", which would be left without targets;"
                  .formatted(version, service)
              + " make another version the current one first");
    }
  }

  private static ObjectNode createRowValue(CommandContext context) {
    return Output.object()
        .put("operator", context.options().operator())
        .put("time", context.time().now().toString())
        .put("reason", context.options().reason());
  }

  private static Optional<Row> readBack(CommandContext context, String key) {
    try {
      return context.platform().readRow(key).await().indefinitely();
    } catch (PlatformException e) {
      return Optional.empty();
    }
  }

  private static ExitCode report(
      CommandContext context, String service, String version, String outcome, String line) {
    ObjectNode fields = Output.object().put("service", service).put("version", version);
    context.output().printOutcome(outcome, fields, service + " version " + version + line);
    return ExitCode.DONE;
  }

  private static CliException invalid(String message) {
    return new CliException(CliErrorCode.INVALID_INPUT, message, null);
  }
}
