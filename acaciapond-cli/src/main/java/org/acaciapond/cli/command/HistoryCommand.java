package org.acaciapond.cli.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.acaciapond.cli.output.ExitCode;
import org.acaciapond.cli.output.Output;
import org.acaciapond.config.version.ConfigEdit;
import org.acaciapond.platform.client.EditHistory;
import org.acaciapond.platform.client.HeadState;

/** Command {@code history}: shows the accepted edits, newest first. */
public final class HistoryCommand implements Command {

  @Override
  public ExitCode run(CommandContext context) {
    EditHistory history =
        new EditHistory(
            context.platform(), HeadState.read(context.platform()).await().indefinitely().parent());
    ObjectNode node = Output.object();
    ArrayNode edits = node.putArray("edits");
    List<String> lines = new ArrayList<>();
    while (history.hasNext() && edits.size() < context.options().limit()) {
      EditHistory.Entry entry = history.next().await().indefinitely();
      edits.add(toJson(entry));
      lines.add(toLine(entry));
    }
    node.put("more", history.hasNext());
    if (history.hasNext()) {
      lines.add("older edits are not shown; raise --limit to see them");
    }
    if (lines.isEmpty()) {
      lines.add("no configuration yet");
    }
    context.output().print(node, lines);
    return ExitCode.DONE;
  }

  private static ObjectNode toJson(EditHistory.Entry entry) {
    ConfigEdit edit = entry.edit();
    return Output.object()
        .put("epoch", edit.epoch())
        .put("sequence", edit.sequence())
        .put("digest", entry.digest())
        .put("parentDigest", edit.parentDigest())
        .put("editId", edit.editId())
        .put("operator", edit.operator())
        .put("createdAt", edit.createdAt().toString())
        .put("textBytes", edit.textBytes());
  }

  private static String toLine(EditHistory.Entry entry) {
    ConfigEdit edit = entry.edit();
    return "version %d  %s  operator %s  edit %s  digest %s"
        .formatted(
            edit.sequence(),
            edit.createdAt(),
            edit.operator(),
            edit.editId(),
            MeshState.shortenDigest(entry.digest()));
  }
}
