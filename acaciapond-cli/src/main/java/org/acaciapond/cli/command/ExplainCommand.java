package org.acaciapond.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.acaciapond.cli.output.ExitCode;

/**
 * Command {@code explain}: shows where a node would send a request now, and why. The request is not
 * sent.
 */
public final class ExplainCommand implements Command {

  private static final String CANDIDATE_FORMAT = "  %-12s %-10s %-16s %-8s %-9s %-14s %s";

  @Override
  public ExitCode run(CommandContext context) {
    ExplainQuestion question = context.options().question();
    String key = question.keyFile().map(KeyFile::read).orElse("");
    ObjectNode answer =
        context.explainer().explain(context.options().nodes().get(0), question, key);
    context.output().print(answer, lines(answer));
    return ExitCode.DONE;
  }

  private static List<String> lines(JsonNode answer) {
    List<String> lines = new ArrayList<>();
    lines.add(
        "node %s in domain %s, configuration %s"
            .formatted(
                text(answer, "node"), text(answer, "domain"), text(answer, "state_version")));
    lines.add(
        "request %s %s of host %s: %s"
            .formatted(
                text(answer, "method"),
                text(answer, "path"),
                text(answer, "host"),
                verdict(text(answer, "verdict"))));
    JsonNode route = answer.path("route");
    if (!route.isMissingNode()) {
      lines.add(
          "route %s: prefix %s, %s, priority %s, timeout %s ms, %s"
              .formatted(
                  text(route, "name"),
                  text(route, "path_prefix"),
                  text(route, "kind"),
                  text(route, "priority"),
                  text(route, "timeout_ms"),
                  route.path("open").asBoolean()
                      ? "no key needed"
                      : "key needed if accounts exist"));
    }
    if (answer.has("account")) {
      lines.add("account %s: %s".formatted(text(answer, "account"), limit(answer)));
    }
    answer.path("services").forEach(service -> addService(service, lines));
    return lines;
  }

  private static String verdict(String verdict) {
    return switch (verdict) {
      case "ROUTED" -> "routed";
      case "NO_ROUTE" -> "404, no route has this host and path";
      case "UNAUTHORIZED" -> "401, the request carries no valid key";
      case "NOT_CONFIGURED" -> "503, the node has no configuration yet";
      default -> verdict;
    };
  }

  private static String limit(JsonNode answer) {
    return answer.has("limit_requests_per_s")
        ? "limit of %s requests/s and a burst of %s"
            .formatted(text(answer, "limit_requests_per_s"), text(answer, "limit_burst"))
        : "no limit";
  }

  private static void addService(JsonNode service, List<String> lines) {
    JsonNode chosen = service.path("chosen");
    lines.add(
        "service %s, weight %s: %s"
            .formatted(
                text(service, "service"),
                text(service, "weight"),
                chosen.isTextual()
                    ? "to the target of node " + chosen.asText()
                    : "503, no target takes the request"));
    if (service.path("alternatives").asInt() > 0) {
      lines.add(
          "  other targets of the same cost, one is chosen: " + text(service, "alternatives"));
    }
    int sharePermille = service.path("unproven_share_permille").asInt();
    if (sharePermille > 0) {
      JsonNode unproven = service.path("chosen_for_unproven");
      lines.add(
          "  rollout: %d of 1000 requests %s"
              .formatted(
                  sharePermille,
                  unproven.isTextual()
                      ? "to the target of node " + unproven.asText()
                      : "find no target"));
    }
    if (service.path("candidates").isEmpty()) {
      lines.add("  no target is listed");
      return;
    }
    lines.add(row("node", "domain", "target", "version", "phase", "state", "cost"));
    for (JsonNode each : service.path("candidates")) {
      lines.add(
          row(
              text(each, "node"),
              text(each, "domain"),
              text(each, "target"),
              text(each, "version"),
              text(each, "phase"),
              text(each, "state"),
              each.has("cost") ? "%.4f".formatted(each.path("cost").asDouble()) : "-"));
    }
    if (service.path("omitted_candidates").asInt() > 0) {
      lines.add("  " + text(service, "omitted_candidates") + " more targets are not shown");
    }
  }

  private static String row(Object... columns) {
    return CANDIDATE_FORMAT.formatted(columns);
  }

  private static String text(JsonNode node, String field) {
    return node.path(field).asText();
  }
}
