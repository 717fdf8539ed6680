package org.acaciapond.bench.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reader of case files; absent optional fields get defaults. */
final class CaseFile {

  private static final String DEFAULT_ROUTE = "/";
  private static final double DEFAULT_COLD_SECONDS = 3;
  private static final double DEFAULT_COLD_FACTOR = 2;

  private CaseFile() {}

  static List<RolloutCase> read(Path file) throws IOException {
    JsonNode root = new ObjectMapper().readTree(file.toFile());
    if (root == null || !root.isArray()) {
      throw new IOException("the case file does not contain a JSON array");
    }
    List<RolloutCase> cases = new ArrayList<>();
    for (JsonNode node : root) {
      cases.add(parse(node, cases.size()));
    }
    return cases;
  }

  static RolloutCase parse(JsonNode node, int index) throws IOException {
    RolloutCase.Behavior oldBehavior = behavior(node.path("old"), "old");
    List<RolloutCase.Fault> faults = faults(node.path("faults"));
    return new RolloutCase(
        node.path("name").asText("case-" + (index + 1)),
        positive(node, "by_s"),
        (int) Math.max(1, Math.round(positive(node, "nodes"))),
        positive(node, "calls_per_s"),
        targets(node.path("targets")),
        routes(node.path("routes")),
        oldBehavior,
        node.path("new").isObject() ? behavior(node.path("new"), "new") : oldBehavior,
        faults.isEmpty() ? faults(node.path("new").path("faults")) : faults,
        faults(node.path("shared_faults")),
        Math.max(0, node.path("sick_nodes").asInt(0)),
        node.path("good").isBoolean() ? node.path("good").asBoolean() : noFaults(node),
        node.path("cold_start_s").asDouble(DEFAULT_COLD_SECONDS),
        node.path("cold_start_factor").asDouble(DEFAULT_COLD_FACTOR));
  }

  private static boolean noFaults(JsonNode node) {
    return node.path("faults").isEmpty() && node.path("new").path("faults").isEmpty();
  }

  // Accepts a number, a list of targets, or an object with the field "slots" or "new".
  private static int targets(JsonNode node) throws IOException {
    int count = 0;
    if (node.isNumber() || node.isTextual()) {
      count = node.asInt();
    } else if (node.isArray()) {
      count = node.size();
    } else if (node.isObject()) {
      JsonNode slots = node.has("slots") ? node.path("slots") : node.path("new");
      count = slots.asInt(0);
    }
    if (count <= 0) {
      throw new IOException("targets must be a positive number");
    }
    return count;
  }

  private static double positive(JsonNode node, String field) throws IOException {
    double value = node.path(field).asDouble(0);
    if (!(value > 0)) {
      throw new IOException(field + " must be a positive number");
    }
    return value;
  }

  private static RolloutCase.Behavior behavior(JsonNode node, String field) throws IOException {
    if (!node.isObject()) {
      throw new IOException(field + " must be an object");
    }
    double median = positive(node, "latency_ms_p50");
    double slow = Math.max(median, node.path("latency_ms_p99").asDouble(median));
    return new RolloutCase.Behavior(median, slow, node.path("error_share").asDouble(0));
  }

  private static List<RolloutCase.Route> routes(JsonNode node) {
    List<RolloutCase.Route> routes = new ArrayList<>();
    double total = 0;
    for (JsonNode route : node) {
      total += route.path("share").asDouble(1);
    }
    for (JsonNode route : node) {
      double share = route.path("share").asDouble(1) / total;
      routes.add(new RolloutCase.Route(route.path("path").asText(DEFAULT_ROUTE), share));
    }
    return routes.isEmpty() ? List.of(new RolloutCase.Route(DEFAULT_ROUTE, 1)) : routes;
  }

  private static List<RolloutCase.Fault> faults(JsonNode node) {
    List<RolloutCase.Fault> faults = new ArrayList<>();
    for (JsonNode fault : node) {
      JsonNode until = fault.path("until_s");
      JsonNode route = fault.path("route");
      faults.add(
          new RolloutCase.Fault(
              !fault.path("kind").asText("error").startsWith("latency"),
              fault.path("size").asDouble(0),
              fault.path("after_s").asDouble(0),
              until.isNumber() ? until.asDouble() : Double.POSITIVE_INFINITY,
              fault.path("above_load").asDouble(0),
              route.isTextual() ? route.asText() : null));
    }
    return faults;
  }
}
