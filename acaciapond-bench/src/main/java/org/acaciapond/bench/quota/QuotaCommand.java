package org.acaciapond.bench.quota;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Locale;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Command that compares equal parts of a limit with tokens that move between nodes. */
public final class QuotaCommand {

  private QuotaCommand() {}

  /** Runs the experiment with both methods, calm and with cuts, and prints the results. */
  public static void run(String[] args) {
    OptionParser parser = new OptionParser();
    OptionSpec<Integer> nodes =
        parser.accepts("nodes").withRequiredArg().ofType(Integer.class).defaultsTo(70);
    OptionSpec<Integer> accounts =
        parser.accepts("accounts").withRequiredArg().ofType(Integer.class).defaultsTo(77);
    OptionSpec<Double> skew =
        parser.accepts("skew").withRequiredArg().ofType(Double.class).defaultsTo(1.2);
    OptionSpec<Double> burstS =
        parser
            .accepts("burst-s", "burst of an account in seconds of its rate")
            .withRequiredArg()
            .ofType(Double.class)
            .defaultsTo(0.5);
    OptionSpec<Long> seed =
        parser.accepts("seed").withRequiredArg().ofType(Long.class).defaultsTo(1L);
    OptionSpec<Void> json = parser.accepts("json", "print one JSON object");
    OptionSet options = parser.parse(args);
    JsonArray runs = new JsonArray();
    for (QuotaExperiment.Method method : QuotaExperiment.Method.values()) {
      for (boolean cuts : new boolean[] {false, true}) {
        QuotaExperiment experiment =
            new QuotaExperiment(
                options.valueOf(nodes),
                new QuotaLoad(
                    options.valueOf(accounts),
                    options.valueOf(skew),
                    options.valueOf(burstS),
                    options.valueOf(nodes)),
                method,
                cuts,
                options.valueOf(seed));
        runs.add(
            experiment
                .run()
                .put("method", method.name().toLowerCase(Locale.ROOT))
                .put("cuts", cuts));
      }
    }
    JsonObject results =
        new JsonObject()
            .put("nodes", options.valueOf(nodes))
            .put("accounts", options.valueOf(accounts))
            .put("skew", options.valueOf(skew))
            .put("burst_s", options.valueOf(burstS))
            .put("seed", options.valueOf(seed))
            .put("runs", runs);
    if (options.has(json)) {
      System.out.println(results.encode());
    } else {
      runs.forEach(System.out::println);
    }
  }
}
