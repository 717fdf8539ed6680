package org.acaciapond.cli.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.acaciapond.cli.output.CliException;
import org.acaciapond.cli.output.ExitCode;
import org.acaciapond.cli.output.Output;
import org.acaciapond.config.version.ConfigVersion;
import org.acaciapond.platform.client.ConfigHead;

/** Command {@code status}: shows the head, rollouts, taken-back versions and given nodes. */
public final class StatusCommand implements Command {

  @Override
  public ExitCode run(CommandContext context) {
    MeshState state = MeshState.read(context.platform());
    ObjectNode node = Output.object();
    List<String> lines = new ArrayList<>();
    node.set("head", state.head().map(MeshState::headJson).orElse(null));
    lines.add(state.head().map(MeshState::headLine).orElse("no configuration yet"));
    addRows(state.rollouts(), node.putArray("rollouts"), lines, "no rollouts");
    addRows(state.takenBack(), node.putArray("takenBack"), lines, "no version is taken back");
    if (!context.options().nodes().isEmpty()) {
      addNodes(context, state.head(), node.putArray("nodes"), lines);
    }
    context.output().print(node, lines);
    return ExitCode.DONE;
  }

  private static void addRows(
      List<RowState> rows, ArrayNode array, List<String> lines, String none) {
    for (RowState row : rows) {
      array.add(row.fields());
      lines.add(row.line());
    }
    if (rows.isEmpty()) {
      lines.add(none);
    }
  }

  private static void addNodes(
      CommandContext context, Optional<ConfigHead> head, ArrayNode array, List<String> lines) {
    ConfigVersion newest = head.map(ConfigHead::version).orElse(ConfigVersion.NONE);
    for (String address : context.options().nodes()) {
      ObjectNode node = array.addObject().put("node", address);
      try {
        ConfigVersion version = context.nodes().read(address);
        String state = compare(version, newest);
        node.put("reachable", true)
            .put("epoch", version.epoch())
            .put("sequence", version.sequence())
            .put("digest", version.digest())
            .put("state", state);
        lines.add("node " + address + ": version " + version.sequence() + " in force, " + state);
      } catch (CliException e) {
        node.put("reachable", false).put("reason", e.text());
        lines.add("node " + address + ": unreachable, " + e.text());
      }
    }
  }

  /** Says how a node stands to the head, which was read before the node. */
  private static String compare(ConfigVersion version, ConfigVersion newest) {
    if (version.sequence() == 0) {
      return "no configuration";
    }
    if (version.contradicts(newest)) {
      return "contradicts the head";
    }
    int order = version.compareTo(newest);
    if (order == 0) {
      return "same as the head";
    }
    return order < 0 ? "behind the head" : "newer than the head that was read";
  }
}
