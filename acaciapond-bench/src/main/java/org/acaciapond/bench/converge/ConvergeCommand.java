package org.acaciapond.bench.converge;

import com.sun.management.OperatingSystemMXBean;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.acaciapond.platform.PlatformServer;
import org.acaciapond.protocol.transport.MessageFamily;

/**
 * Command {@code converge}; exits with 0 if all edits reached all nodes and no invariant was
 * violated, with 2 on invalid options, else with 1.
 */
public final class ConvergeCommand {

  private static final int EXIT_DONE = 0;
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_BAD_INPUT = 2;
  private static final long JOIN_TIMEOUT_MS = 120_000;

  /**
   * Wait before the measurement. Nodes forward the updates of their start for up to 30 s; a wait of
   * 15 s counted these as steady-state traffic.
   */
  private static final long STABILIZATION_MS = 35_000;

  private static final double NANOS_PER_MILLI = 1e6;
  private static final double NANOS_PER_SECOND = 1e9;

  /** Values of the cumulative counters at one point in time. */
  private record CounterSample(
      long nanos,
      long cpuNanos,
      Map<MessageFamily, Long> peerBytes,
      long platformBytes,
      long reads,
      long writes) {}

  private final ConvergeOptions options;
  private final PlatformServer platform;
  private final Fleet fleet;
  private final EditPublisher editPublisher;

  private ConvergeCommand(Vertx vertx, ConvergeOptions options) {
    this.options = options;
    this.platform = new PlatformServer(vertx, "127.0.0.1", 0);
    platform.start().await().indefinitely();
    this.fleet = new Fleet(options, platform.port());
    this.editPublisher = new EditPublisher(vertx, platform.port(), fleet, options.services());
  }

  /** Runs the command and returns its exit code. */
  public static int run(String[] args) {
    OptionParser parser = new OptionParser();
    final OptionSpec<Integer> nodes =
        addIntegerOption(parser, "nodes", "number of nodes, all in this process", 20);
    final OptionSpec<Integer> changes =
        addIntegerOption(parser, "changes", "number of measured edits", 20);
    final OptionSpec<Integer> services =
        addIntegerOption(parser, "services", "number of services", 20);
    final OptionSpec<Integer> domains =
        addIntegerOption(parser, "domains", "number of failure domains", 4);
    final OptionSpec<Integer> intervalMs =
        addIntegerOption(parser, "edit-interval-ms", "minimum time between edits", 1_000);
    final OptionSpec<String> distribution =
        parser.accepts("distribution", "relay or poll").withRequiredArg().defaultsTo("relay");
    final OptionSpec<String> scenario =
        parser
            .accepts("scenario", "edits, mass-restart or platform-outage")
            .withRequiredArg()
            .defaultsTo("edits");
    parser.accepts("json", "print one JSON object");
    ConvergeOptions convergeOptions;
    OptionSet optionSet;
    try {
      optionSet = parser.parse(args);
      convergeOptions =
          new ConvergeOptions(
              optionSet.valueOf(nodes),
              optionSet.valueOf(changes),
              optionSet.valueOf(distribution),
              optionSet.valueOf(services),
              optionSet.valueOf(domains),
              optionSet.valueOf(intervalMs),
              Scenario.fromOptionName(optionSet.valueOf(scenario)));
    } catch (OptionException | IllegalArgumentException e) {
      System.err.println(e.getMessage());
      return EXIT_BAD_INPUT;
    }
    return execute(convergeOptions, optionSet.has("json"));
  }

  private static OptionSpec<Integer> addIntegerOption(
      OptionParser parser, String name, String description, int defaultValue) {
    return parser
        .accepts(name, description)
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(defaultValue);
  }

  private static int execute(ConvergeOptions options, boolean json) {
    Vertx vertx = Vertx.vertx();
    try {
      JsonObject result = new ConvergeCommand(vertx, options).runExperiment();
      printResult(result, json);
      boolean invariantViolated =
          result.getLong("versions_regressed") > 0 || result.getLong("dangling_routes") > 0;
      return invariantViolated ? EXIT_FAILED : EXIT_DONE;
    } catch (CompletionException | IllegalStateException | IOException e) {
      System.err.println("converge: " + e.getMessage());
      return EXIT_FAILED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return EXIT_FAILED;
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().join();
    }
  }

  private static void printResult(JsonObject result, boolean json) {
    if (json) {
      System.out.println(result.encode());
    } else {
      result.forEach(field -> System.out.println(field.getKey() + ": " + field.getValue()));
    }
  }

  private JsonObject runExperiment() throws InterruptedException, IOException {
    fleet.start();
    long startNanos = System.nanoTime();
    long missingNodes = fleet.awaitJoined(JOIN_TIMEOUT_MS);
    if (missingNodes > 0) {
      throw new IllegalStateException(
          missingNodes + " nodes have not discovered all others within " + JOIN_TIMEOUT_MS + " ms");
    }
    JsonObject result =
        optionsToJson().put("joined_ms", (System.nanoTime() - startNanos) / NANOS_PER_MILLI);
    // The first edit and the first intervals are a warm-up and are not measured.
    editPublisher.publishAndAwait();
    Thread.sleep(Math.max(options.editIntervalMs(), STABILIZATION_MS));
    if (options.scenario() == Scenario.EDITS) {
      measureEdits(result);
    } else {
      result.mergeIn(new RecoveryExperiment(options, platform, fleet, editPublisher).run());
    }
    result
        .put("versions_regressed", fleet.invariantChecker().regressedCount())
        .put("dangling_routes", fleet.invariantChecker().danglingCount());
    fleet.stop();
    return result;
  }

  private void measureEdits(JsonObject result) throws InterruptedException {
    CounterSample before = sampleCounters();
    double[] convergenceMs = new double[options.changes()];
    for (int i = 0; i < options.changes(); i++) {
      long startNanos = System.nanoTime();
      convergenceMs[i] = editPublisher.publishAndAwait() / NANOS_PER_MILLI;
      long spentMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
      Thread.sleep(Math.max(0, options.editIntervalMs() - spentMs));
    }
    addMetrics(result, convergenceMs, before, sampleCounters(), usedHeapBytes());
  }

  private CounterSample sampleCounters() {
    OperatingSystemMXBean system = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
    return new CounterSample(
        System.nanoTime(),
        system.getProcessCpuTime(),
        peerBytes(),
        fleet.sum(Host::platformBytes),
        platform.stats().reads(),
        platform.stats().writes());
  }

  private static long usedHeapBytes() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  private Map<MessageFamily, Long> peerBytes() {
    Map<MessageFamily, Long> bytes = new EnumMap<>(MessageFamily.class);
    for (MessageFamily family : MessageFamily.values()) {
      bytes.put(family, fleet.sum(host -> host.peerBytes(family)));
    }
    return bytes;
  }

  private JsonObject optionsToJson() {
    return new JsonObject()
        .put("nodes", options.nodes())
        .put("nodes_per_process", options.nodes())
        .put("services", options.services())
        .put("domains", options.domains())
        .put("distribution", options.distribution())
        .put("scenario", options.scenario().optionName())
        .put("changes", options.changes())
        .put("edit_interval_ms", options.editIntervalMs())
        .put("membership", "real");
  }

  private void addMetrics(
      JsonObject result,
      double[] convergenceMs,
      CounterSample before,
      CounterSample after,
      long heapBytes) {
    double[] sorted = convergenceMs.clone();
    Arrays.sort(sorted);
    double seconds = (after.nanos() - before.nanos()) / NANOS_PER_SECOND;
    double nodeSeconds = seconds * options.nodes();
    double peerRate = 0;
    for (MessageFamily family : MessageFamily.values()) {
      long bytes =
          after.peerBytes().getOrDefault(family, 0L) - before.peerBytes().getOrDefault(family, 0L);
      double rate = bytes / nodeSeconds;
      result.put(family.name().toLowerCase(Locale.ROOT) + "_bytes_per_node_s", rate);
      peerRate += rate;
    }
    double platformRate = (after.platformBytes() - before.platformBytes()) / nodeSeconds;
    double cpuNanos = after.cpuNanos() - before.cpuNanos();
    result
        .put("convergence_ms_p50", percentile(sorted, 0.50))
        .put("convergence_ms_p99", percentile(sorted, 0.99))
        .put("convergence_ms_max", sorted[sorted.length - 1])
        .put("control_bytes_per_node_s", peerRate + platformRate)
        .put("peer_bytes_per_node_s", peerRate)
        .put("platform_bytes_per_node_s", platformRate)
        .put("control_cpu_share_per_node", cpuNanos / NANOS_PER_SECOND / nodeSeconds)
        .put("cpu_baseline_subtracted", false)
        .put("heap_bytes_per_node", heapBytes / options.nodes())
        .put("platform_reads_per_s", (after.reads() - before.reads()) / seconds)
        .put("platform_writes_per_s", (after.writes() - before.writes()) / seconds);
  }

  /** Returns the quantile by the nearest-rank method. */
  private static double percentile(double[] sorted, double quantile) {
    int rank = (int) Math.ceil(quantile * sorted.length);
    return sorted[Math.max(0, rank - 1)];
  }
}
