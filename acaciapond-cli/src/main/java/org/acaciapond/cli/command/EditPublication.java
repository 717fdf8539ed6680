package org.acaciapond.cli.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.acaciapond.cli.output.CliErrorCode;
import org.acaciapond.cli.output.CliException;
import org.acaciapond.cli.output.ExitCode;
import org.acaciapond.cli.output.Output;
import org.acaciapond.platform.client.ConfigHead;
import org.acaciapond.platform.client.ConfigPublisher;
import org.acaciapond.platform.client.HeadState;
import org.acaciapond.platform.client.PublishResult;
import org.jspecify.annotations.Nullable;

/** Publication of an edit and the report of its outcome, shared by the commands that edit. */
final class EditPublication {

  private EditPublication() {}

  /** Publishes a text after a head; fails unless it was accepted. */
  static ExitCode publish(CommandContext context, HeadState base, String text, EditNote note) {
    PublishResult result =
        new ConfigPublisher(context.platform(), context.time())
            .publish(base, text, context.options().operator())
            .await()
            .indefinitely();
    return switch (result.outcome()) {
      case ACCEPTED -> {
        ObjectNode fields =
            note.fields()
                .put("epoch", result.version().epoch())
                .put("sequence", result.version().sequence())
                .put("digest", result.version().digest());
        String accepted = "accepted as version " + result.version().sequence();
        context.output().printOutcome("ACCEPTED", fields, accepted + note.line());
        yield ExitCode.DONE;
      }
      case CONFLICT -> throw conflict(base.parent().sequence(), result.otherEdit());
      case UNAVAILABLE ->
          throw new CliException(
              CliErrorCode.UNAVAILABLE, "the platform is unavailable; nothing was changed", null);
      case UNKNOWN ->
          throw new CliException(
              CliErrorCode.UNKNOWN,
              "outcome unknown: the edit may or may not have taken effect; look at \"acaciapond"
                  + " history\" before trying again",
              null);
    };
  }

  /** Returns the error of an edit whose base is not the head. */
  static CliException conflict(long baseSequence, @Nullable ConfigHead other) {
    if (other == null) {
      return new CliException(
          CliErrorCode.CONFLICT, "conflict with another edit; nothing was changed", null);
    }
    String message =
        "conflict: version %d by operator %s (edit %s) is in force or came first, and this edit is"
            + " based on version %d; nothing was changed";
    ObjectNode details = Output.object().put("base", baseSequence);
    details
        .putObject("other")
        .put("epoch", other.epoch())
        .put("sequence", other.sequence())
        .put("operator", other.operator())
        .put("editId", other.editId());
    return new CliException(
        CliErrorCode.CONFLICT,
        message.formatted(other.sequence(), other.operator(), other.editId(), baseSequence),
        details,
        null);
  }
}
