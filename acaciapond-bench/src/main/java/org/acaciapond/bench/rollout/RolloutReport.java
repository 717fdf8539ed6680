package org.acaciapond.bench.rollout;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/** Report of the runs as a table or as JSON. */
final class RolloutReport {

  private static final double SMALL_SHARE = 0.05 + 1e-9;

  private final ObjectMapper mapper = new ObjectMapper();

  /** A case with the results of its runs. */
  record CaseResults(RolloutCase test, List<RolloutRun.Result> results) {}

  ObjectNode json(List<CaseResults> all) {
    ObjectNode root = figures(all);
    ObjectNode cases = root.putObject("cases");
    for (CaseResults each : all) {
      cases.set(each.test().name(), figures(List.of(each)));
    }
    return root;
  }

  String table(List<CaseResults> all) {
    StringBuilder text = new StringBuilder();
    String head = "%-44s %6s %7s %7s %9s %9s %9s %9s%n";
    text.append(
        String.format(
            Locale.ROOT,
            head,
            "case",
            "kind",
            "right",
            "max",
            "over.05",
            "bad calls",
            "p50 s",
            "p99 s"));
    for (CaseResults each : all) {
      text.append(line(each));
    }
    text.append(totals(all));
    all.forEach(each -> text.append(mistakes(each)));
    return text.toString();
  }

  private String line(CaseResults each) {
    boolean good = each.test().good();
    ObjectNode figures = figures(List.of(each));
    String share = good ? "good_completed_on_time_share" : "bad_taken_back_share";
    long over = each.results().stream().filter(result -> result.maxShare() > SMALL_SHARE).count();
    return String.format(
        Locale.ROOT,
        "%-44s %6s %7.4f %7.3f %9s %9.4f %9.1f %9.1f%n",
        each.test().name(),
        good ? "good" : each.test().badFromStart() ? "atonce" : "bad",
        figures.get(share).asDouble(),
        figures.get("bad_traffic_share_max").asDouble(),
        each.test().badFromStart() ? Long.toString(over) : "-",
        figures.get("bad_calls_after_fault_shows_share").asDouble(),
        figures.get("detection_ms_p50").asDouble() / 1000,
        figures.get("detection_ms_p99").asDouble() / 1000);
  }

  private static String mistakes(CaseResults each) {
    Map<String, Integer> endings = new TreeMap<>();
    for (RolloutRun.Result result : each.results()) {
      boolean right = each.test().good() ? result.completedOnTime() : result.takenBack();
      if (!right) {
        endings.merge(result.finalState(), 1, Integer::sum);
      }
    }
    StringBuilder text = new StringBuilder();
    endings.forEach(
        (finalState, count) ->
            text.append(
                String.format(
                    Locale.ROOT,
                    "wrong: %s, %d runs: %s%n",
                    each.test().name(),
                    count,
                    finalState)));
    return text.toString();
  }

  private String totals(List<CaseResults> all) {
    ObjectNode root = figures(all);
    long runs = 0;
    long within = 0;
    for (CaseResults each : all) {
      if (each.test().badFromStart()) {
        runs += each.results().size();
        within +=
            each.results().stream().filter(result -> result.maxShare() <= SMALL_SHARE).count();
      }
    }
    return String.format(
        Locale.ROOT,
        "good completed on time %.4f, bad taken back %.4f, at-once faults within 0.05: %d of %d,"
            + " bad calls after the fault shows %.4f%n",
        root.get("good_completed_on_time_share").asDouble(),
        root.get("bad_taken_back_share").asDouble(),
        within,
        runs,
        root.get("bad_calls_after_fault_shows_share").asDouble());
  }

  private ObjectNode figures(List<CaseResults> all) {
    List<RolloutRun.Result> good = results(all, true);
    List<RolloutRun.Result> bad = results(all, false);
    ObjectNode node = mapper.createObjectNode();
    share(node, "good_completed_on_time_share", good, RolloutRun.Result::completedOnTime);
    share(node, "bad_taken_back_share", bad, RolloutRun.Result::takenBack);
    if (bad.isEmpty()) {
      node.putNull("bad_traffic_share_max");
      node.putNull("bad_calls_after_fault_shows_share");
    } else {
      node.put(
          "bad_traffic_share_max",
          bad.stream().mapToDouble(RolloutRun.Result::maxShare).max().orElse(0));
      node.put(
          "bad_calls_after_fault_shows_share",
          bad.stream().mapToDouble(RolloutRun.Result::badCallsShare).average().orElse(0));
    }
    double[] times =
        bad.stream().mapToDouble(RolloutRun.Result::detectionMs).filter(ms -> ms >= 0).toArray();
    Arrays.sort(times);
    quantile(node, "detection_ms_p50", times, 0.5);
    quantile(node, "detection_ms_p99", times, 0.99);
    return node;
  }

  private static List<RolloutRun.Result> results(List<CaseResults> all, boolean good) {
    List<RolloutRun.Result> results = new ArrayList<>();
    for (CaseResults each : all) {
      if (each.test().good() == good) {
        results.addAll(each.results());
      }
    }
    return results;
  }

  private static void share(
      ObjectNode node,
      String field,
      List<RolloutRun.Result> results,
      Predicate<RolloutRun.Result> right) {
    if (results.isEmpty()) {
      node.putNull(field);
    } else {
      node.put(field, (double) results.stream().filter(right).count() / results.size());
    }
  }

  private static void quantile(ObjectNode node, String field, double[] sorted, double rank) {
    if (sorted.length == 0) {
      node.putNull(field);
    } else {
      node.put(field, sorted[(int) Math.min(sorted.length - 1, rank * sorted.length)]);
    }
  }
}
