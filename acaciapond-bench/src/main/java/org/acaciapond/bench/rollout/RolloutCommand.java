package org.acaciapond.bench.rollout;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.File;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Command {@code rollout}: simulates every case of a file in several seeded runs. */
public final class RolloutCommand {

  private static final int EXIT_BAD_INPUT = 2;
  private static final long SEED_STRIDE = 0x9E3779B97F4A7C15L;

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<File> cases =
      parser.accepts("cases", "case file; may be repeated").withRequiredArg().ofType(File.class);
  private final OptionSpec<Integer> random =
      parser
          .accepts("random", "number of random cases instead of a file")
          .withRequiredArg()
          .ofType(Integer.class);
  private final OptionSpec<Long> seed =
      parser.accepts("seed", "seed").withRequiredArg().ofType(Long.class).defaultsTo(1L);
  private final OptionSpec<Integer> runs =
      parser
          .accepts("runs", "runs of each case")
          .withRequiredArg()
          .ofType(Integer.class)
          .defaultsTo(50);
  private final OptionSpec<String> policy =
      parser
          .accepts("policy", "policy that decides the rollouts")
          .withRequiredArg()
          .defaultsTo(Policy.STANDARD.label());
  private final OptionSpec<File> plot =
      parser.accepts("plot", "directory for plots").withRequiredArg().ofType(File.class);
  private final OptionSpec<Void> json = parser.accepts("json", "print one JSON object");

  private RolloutCommand() {}

  /** Runs the command; exits with 2 on invalid options or case files. */
  public static void run(String[] args) {
    try {
      new RolloutCommand().execute(args);
    } catch (OptionException | IOException e) {
      System.err.println("acaciapond-bench rollout: " + e.getMessage());
      System.exit(EXIT_BAD_INPUT);
    }
  }

  private void execute(String[] args) throws IOException {
    OptionSet options = parser.parse(args);
    Policy chosen =
        Policy.named(options.valueOf(policy))
            .orElseThrow(() -> new IOException("unknown policy " + options.valueOf(policy)));
    List<RolloutCase> tests = tests(options);
    List<RolloutReport.CaseResults> all =
        runAll(tests, chosen, options.valueOf(seed), options.valueOf(runs));
    RolloutReport report = new RolloutReport();
    if (options.has(json)) {
      System.out.println(
          new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(report.json(all)));
    } else {
      System.out.print(report.table(all));
    }
    if (options.has(plot)) {
      SharePlot.write(options.valueOf(plot).toPath(), all, chosen);
    }
  }

  private List<RolloutCase> tests(OptionSet options) throws IOException {
    if (options.has(random)) {
      return RandomCases.generate(options.valueOf(random), options.valueOf(seed));
    }
    if (!options.has(cases)) {
      throw new IOException("--cases FILE is required");
    }
    List<RolloutCase> all = new ArrayList<>();
    for (File file : options.valuesOf(cases)) {
      all.addAll(CaseFile.read(file.toPath()));
    }
    return all;
  }

  static List<RolloutReport.CaseResults> runAll(
      List<RolloutCase> tests, Policy policy, long seed, int runs) {
    int total = tests.size() * runs;
    RolloutRun.Result[] results = new RolloutRun.Result[total];
    IntStream.range(0, total)
        .parallel()
        .forEach(
            index -> {
              long runSeed = seed + SEED_STRIDE * (index + 1);
              results[index] = new RolloutRun(tests.get(index / runs), policy, runSeed).run();
            });
    List<RolloutReport.CaseResults> all = new ArrayList<>();
    for (int i = 0; i < tests.size(); i++) {
      List<RolloutRun.Result> own = List.of(results).subList(i * runs, (i + 1) * runs);
      all.add(new RolloutReport.CaseResults(tests.get(i), own));
    }
    return all;
  }
}
