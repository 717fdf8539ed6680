package org.acaciapond.bench.calls;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.jspecify.annotations.Nullable;

/**
 * Command {@code calls}, which measures the path through two nodes and its behavior under faults.
 */
public final class CallsCommand {

  private static final int EXIT_BAD_INPUT = 2;

  private CallsCommand() {}

  /** Runs the experiment and prints one JSON object; returns the exit code. */
  public static int run(String[] args) throws Exception {
    OptionParser parser = new OptionParser();
    final OptionSpec<Integer> seconds =
        parser.accepts("seconds").withRequiredArg().ofType(Integer.class).defaultsTo(10);
    final OptionSpec<Integer> rate =
        parser.accepts("rate").withRequiredArg().ofType(Integer.class).defaultsTo(1_000);
    final OptionSpec<Integer> targetPort =
        parser.accepts("serve-target").withRequiredArg().ofType(Integer.class);
    final OptionSpec<String> scenario = parser.accepts("scenario").withRequiredArg();
    parser.accepts("json");
    final OptionSpec<Integer> outbound = addPortOption(parser, "outbound-port");
    final OptionSpec<Integer> target = addPortOption(parser, "target-port");
    final OptionSpec<Integer> nodePids =
        parser
            .accepts("node-pids")
            .withRequiredArg()
            .ofType(Integer.class)
            .withValuesSeparatedBy(',');
    OptionSet options;
    try {
      options = parser.parse(args);
    } catch (OptionException e) {
      System.err.println(e.getMessage());
      return EXIT_BAD_INPUT;
    }
    if (options.has(targetPort)) {
      return EchoTarget.serve(options.valueOf(targetPort));
    }
    if (!options.has(scenario) && !(options.has(outbound) && options.has(target))) {
      System.err.println(
          "the options outbound-port and target-port are missing; start the command with"
              + " bin/acaciapond-bench, which starts the mesh");
      return EXIT_BAD_INPUT;
    }
    JsonObject result =
        options.has(scenario)
            ? runScenario(options.valueOf(scenario), options.valueOf(seconds))
            : AddedLatency.measure(
                new MeshProcesses(
                    options.valueOf(outbound), options.valueOf(target), options.valuesOf(nodePids)),
                options.valueOf(seconds),
                options.valueOf(rate));
    if (result == null) {
      System.err.println(
          "unknown scenario: " + options.valueOf(scenario) + "; must be overload, chain or silent");
      return EXIT_BAD_INPUT;
    }
    System.out.println(options.has("json") ? result.encode() : result.encodePrettily());
    return 0;
  }

  private static OptionSpec<Integer> addPortOption(OptionParser parser, String name) {
    return parser
        .accepts(name, "set by the launcher bin/calls-mesh")
        .withRequiredArg()
        .ofType(Integer.class);
  }

  private static @Nullable JsonObject runScenario(String name, int seconds) throws Exception {
    Vertx vertx = Vertx.vertx();
    try {
      return switch (name) {
        case "overload" -> OverloadScenario.run(vertx, seconds);
        case "chain" -> ChainScenario.run(vertx, seconds);
        case "silent" -> SilentConnectionsScenario.run(vertx, seconds);
        default -> null;
      };
    } finally {
      vertx.close();
    }
  }
}
