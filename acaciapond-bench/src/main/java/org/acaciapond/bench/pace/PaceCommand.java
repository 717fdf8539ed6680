package org.acaciapond.bench.pace;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Command {@code pace}: plays the load of each case with a fixed limit and with the pace. */
public final class PaceCommand {

  private static final int EXIT_BAD_INPUT = 2;

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<Long> seed =
      parser.accepts("seed", "first seed").withRequiredArg().ofType(Long.class).defaultsTo(1L);
  private final OptionSpec<Integer> runs =
      parser
          .accepts("runs", "runs of each case, with successive seeds")
          .withRequiredArg()
          .ofType(Integer.class)
          .defaultsTo(20);
  private final OptionSpec<Void> json = parser.accepts("json", "print one JSON object");

  private PaceCommand() {}

  /** Runs the command; exits with 2 on invalid options. */
  public static void run(String[] args) {
    try {
      new PaceCommand().execute(args);
    } catch (OptionException | IllegalArgumentException e) {
      System.err.println("acaciapond-bench pace: " + e.getMessage());
      System.exit(EXIT_BAD_INPUT);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  private void execute(String[] args) throws JsonProcessingException {
    OptionSet options = parser.parse(args);
    int count = options.valueOf(runs);
    if (count < 1) {
      throw new IllegalArgumentException("--runs must be at least 1");
    }
    ObjectNode report = report(options.valueOf(seed), count);
    if (options.has(json)) {
      System.out.println(
          new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(report));
    } else {
      report.get("results").forEach(result -> System.out.println(result));
    }
  }

  private static ObjectNode report(long firstSeed, int count) {
    ObjectNode report = new ObjectMapper().createObjectNode();
    report.put("seed", firstSeed);
    report.put("runs", count);
    report.put(
        "coldBound",
        (int) (PaceCase.COLD_RATE_PER_S * PaceCase.COLD_OVER_FACTOR + PaceCase.COLD_SLACK));
    ArrayNode results = report.putArray("results");
    for (PaceCase test : PaceCase.all()) {
      for (boolean paced : new boolean[] {false, true}) {
        List<PaceResult> all =
            LongStream.range(firstSeed, firstSeed + count)
                .mapToObj(each -> new PaceRun(test, paced, each).run())
                .toList();
        addResult(results.addObject(), test, paced, all);
      }
    }
    return report;
  }

  private static void addResult(
      ObjectNode node, PaceCase test, boolean paced, List<PaceResult> all) {
    node.put("case", test.name());
    node.put("limit", paced ? "pace" : "fixed");
    node.put("offered", mean(all, PaceResult::offered));
    node.put("offeredInTrouble", mean(all, PaceResult::offeredInTrouble));
    node.put("served", mean(all, PaceResult::served));
    node.put("servedInTime", mean(all, PaceResult::servedInTime));
    node.put("refused", mean(all, PaceResult::refused));
    node.put("refusedByTarget", mean(all, PaceResult::refusedByTarget));
    node.put("lost", mean(all, PaceResult::lost));
    node.put("lostForGood", mean(all, PaceResult::lostForGood));
    node.put("repeatable", mean(all, PaceResult::repeatable));
    node.put("untilFullS", mean(all, PaceResult::untilFullS));
    node.put("mostInSecond", all.stream().mapToInt(PaceResult::mostInSecond).max().orElse(0));
    node.put("stateChanges", mean(all, result -> result.states().size() - 1));
    node.put("crashes", mean(all, PaceResult::crashes));
  }

  private static double mean(List<PaceResult> all, ToDoubleFunction<PaceResult> value) {
    double mean = all.stream().mapToDouble(value).average().orElse(Double.NaN);
    return Math.round(mean * 100) / 100.0;
  }
}
