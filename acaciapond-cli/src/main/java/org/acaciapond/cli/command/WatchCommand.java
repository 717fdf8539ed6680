package org.acaciapond.cli.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.acaciapond.cli.output.ExitCode;
import org.acaciapond.cli.output.Output;
import org.acaciapond.config.version.ConfigVersion;
import org.acaciapond.platform.client.ConfigHead;
import org.acaciapond.platform.client.PlatformException;

/**
 * Command {@code watch}: prints the state and then each change until it is interrupted.
 *
 * <p>An outage of the platform after the start is printed as a change and does not end the command.
 */
public final class WatchCommand implements Command {

  @Override
  public ExitCode run(CommandContext context) {
    ChangePrinter printer = new ChangePrinter(context.output());
    printer.printChanges(MeshState.read(context.platform()));
    while (context.pause().await()) {
      try {
        printer.printChanges(MeshState.read(context.platform()));
      } catch (PlatformException e) {
        printer.printOutage(e);
      }
    }
    return ExitCode.DONE;
  }

  /** Printer of the changes since the last printed state. */
  private static final class ChangePrinter {

    private final Output output;
    private final Map<String, Long> revisions = new HashMap<>();
    private ConfigVersion head = ConfigVersion.NONE;
    private boolean available = true;

    ChangePrinter(Output output) {
      this.output = output;
    }

    void printChanges(MeshState state) {
      if (!available) {
        available = true;
        print("platform", Output.object().put("available", true), "the platform is back");
      }
      state.head().ifPresent(this::printHead);
      state.rollouts().forEach(this::printRow);
      state.takenBack().forEach(this::printRow);
    }

    void printOutage(PlatformException error) {
      if (available) {
        available = false;
        print(
            "platform",
            Output.object().put("available", false).put("reason", error.getMessage()),
            "the platform is unavailable: " + error.getMessage());
      }
    }

    /** Prints an older head, too, because it means that the table was rebuilt. */
    private void printHead(ConfigHead next) {
      if (!next.version().equals(head)) {
        head = next.version();
        print("head", MeshState.toJson(next), MeshState.formatHead(next));
      }
    }

    private void printRow(RowState row) {
      long printedRevision = revisions.getOrDefault(row.key(), 0L);
      if (row.revision() != printedRevision) {
        revisions.put(row.key(), row.revision());
        print(row.isRollout() ? "rollout" : "taken-back", row.fields(), row.line());
      }
    }

    private void print(String event, ObjectNode fields, String line) {
      ObjectNode node = Output.object().put("event", event);
      node.setAll(fields);
      output.print(node, List.of(line));
    }
  }
}
