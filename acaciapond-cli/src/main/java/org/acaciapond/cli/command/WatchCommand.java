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
 * Command {@code watch}: prints the state and then each change as it comes, until interrupted.
 *
 * <p>An outage of the platform after the start is a change like any other.
 */
public final class WatchCommand implements Command {

  @Override
  public ExitCode run(CommandContext context) {
    Watch watch = new Watch(context.output());
    watch.show(MeshState.read(context.platform()));
    while (context.pause().await()) {
      try {
        watch.show(MeshState.read(context.platform()));
      } catch (PlatformException e) {
        watch.showOutage(e);
      }
    }
    return ExitCode.DONE;
  }

  /** What has been printed so far. */
  private static final class Watch {

    private final Output output;
    private final Map<String, Long> revisions = new HashMap<>();
    private ConfigVersion head = ConfigVersion.NONE;
    private boolean available = true;

    Watch(Output output) {
      this.output = output;
    }

    void show(MeshState state) {
      if (!available) {
        available = true;
        print("platform", Output.object().put("available", true), "the platform is back");
      }
      state.head().ifPresent(this::showHead);
      state.rollouts().forEach(this::showRow);
      state.takenBack().forEach(this::showRow);
    }

    void showOutage(PlatformException error) {
      if (available) {
        available = false;
        print(
            "platform",
            Output.object().put("available", false).put("reason", error.getMessage()),
            "the platform is unavailable: " + error.getMessage());
      }
    }

    /** Shows an older head as well: it means that the table was rebuilt. */
    private void showHead(ConfigHead next) {
      if (!next.version().equals(head)) {
        head = next.version();
        print("head", MeshState.headJson(next), MeshState.headLine(next));
      }
    }

    private void showRow(RowState row) {
      long shown = revisions.getOrDefault(row.key(), 0L);
      if (row.revision() != shown) {
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
