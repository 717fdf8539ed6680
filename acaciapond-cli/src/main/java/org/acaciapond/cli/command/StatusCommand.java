package org.acaciapond.cli.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.acaciapond.cli.output.CliException;
import org.acaciapond.cli.output.ExitCode;
import org.acaciapond.cli.output.Output;
import org.acaciapond.config.model.MeshConfig;
import org.acaciapond.config.model.RolloutConfig;
import org.acaciapond.config.model.ServiceConfig;
import org.acaciapond.config.version.ConfigVersion;
import org.acaciapond.platform.client.ConfigHead;
import org.acaciapond.platform.client.PlatformException;

/** Command {@code status}: shows the head, rollouts, taken-back versions and given nodes. */
public final class StatusCommand implements Command {

  private static final Comparator<ConfigVersion> VERSION_ORDER =
      Comparator.<ConfigVersion>naturalOrder().thenComparing(ConfigVersion::digest);

  @Override
  public ExitCode run(CommandContext context) {
    MeshState state = MeshState.read(context.platform());
    ObjectNode node = Output.object();
    List<String> lines = new ArrayList<>();
    node.set("head", state.head().map(MeshState::toJson).orElse(null));
    lines.add(state.head().map(MeshState::formatHead).orElse("no configuration yet"));
    addRows(state.rollouts(), node.putArray("rollouts"), lines, "no rollouts");
    addRequested(context, state, node.putArray("requested"), lines);
    addRows(state.takenBack(), node.putArray("takenBack"), lines, "no version is taken back");
    if (!context.options().nodes().isEmpty()) {
      addNodes(context, state.head(), node.putArray("nodes"), lines);
    }
    context.output().print(node, lines);
    return ExitCode.DONE;
  }

  private static void addRows(
      List<RowState> rows, ArrayNode array, List<String> lines, String emptyLine) {
    for (RowState row : rows) {
      array.add(row.fields());
      lines.add(row.line());
    }
    if (rows.isEmpty()) {
      lines.add(emptyLine);
    }
  }

  /** Adds the rollouts in the text that have no row yet, so that a request does not seem lost. */
  private static void addRequested(
      CommandContext context, MeshState state, ArrayNode array, List<String> lines) {
    List<ServiceConfig> services = List.of();
    try {
      services =
          CurrentConfigReader.read(context.platform(), state.head())
              .map(MeshConfig::services)
              .orElse(List.of());
    } catch (PlatformException e) {
      lines.add("the text in force cannot be read: " + e.getMessage());
    }
    for (ServiceConfig service : services) {
      RolloutConfig rollout = service.rollout();
      if (rollout != null && !hasRow(state, service.name(), rollout.toVersion())) {
        array
            .addObject()
            .put("service", service.name())
            .put("from", service.currentVersion())
            .put("to", rollout.toVersion())
            .put("by", rollout.by().toString());
        lines.add(
            "requested, not started: %s from %s to %s by %s"
                .formatted(
                    service.name(), service.currentVersion(), rollout.toVersion(), rollout.by()));
      }
    }
  }

  private static boolean hasRow(MeshState state, String service, String version) {
    return state.rollouts().stream()
        .filter(row -> row.fields().path("service").asText().equals(service))
        .anyMatch(row -> row.fields().path("to").asText().equals(version));
  }

  private static void addNodes(
      CommandContext context, Optional<ConfigHead> head, ArrayNode array, List<String> lines) {
    ConfigVersion newest = head.map(ConfigHead::version).orElse(ConfigVersion.NONE);
    Set<ConfigVersion> activeVersions = new TreeSet<>(VERSION_ORDER);
    for (String address : context.options().nodes()) {
      ObjectNode node = array.addObject().put("node", address);
      try {
        ConfigVersion version = context.nodes().read(address);
        String state = describeState(version, newest);
        node.put("reachable", true)
            .put("epoch", version.epoch())
            .put("sequence", version.sequence())
            .put("digest", version.digest())
            .put("state", state);
        activeVersions.add(version);
        lines.add(
            "node %s: version %d of epoch %d in force, digest %s, %s"
                .formatted(
                    address,
                    version.sequence(),
                    version.epoch(),
                    MeshState.shortenDigest(version.digest()),
                    state));
      } catch (CliException e) {
        node.put("reachable", false).put("reason", e.text());
        lines.add("node " + address + ": unreachable, " + e.text());
      }
    }
    if (activeVersions.size() > 1) {
      lines.add(
          "nodes differ: "
              + activeVersions.stream()
                  .map(v -> "version " + v.sequence() + " of epoch " + v.epoch())
                  .collect(Collectors.joining(", ")));
    }
  }

  /** Describes the version of a node relative to the head, which was read before the node. */
  private static String describeState(ConfigVersion version, ConfigVersion newest) {
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
