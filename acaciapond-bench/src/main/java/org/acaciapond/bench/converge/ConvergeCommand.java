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

/** Command {@code converge}; exits 0 when all edits arrived and no invariant broke, else 1. */
public final class ConvergeCommand {

  private static final int EXIT_DONE = 0;
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_BAD_INPUT = 2;
  private static final long JOIN_TIMEOUT_MS = 120_000;

  /** Nodes pass on the updates of the start for up to 30 s; 15 s counted them as steady traffic. */
  private static final long SETTLE_MS = 35_000;

  private static final double NANOS_PER_MILLI = 1e6;
  private static final double NANOS_PER_SECOND = 1e9;

  /** Readings of the cumulative counters at one moment. */
  private record Reading(
      long nanos,
      long cpuNanos,
      Map<MessageFamily, Long> peerBytes,
      long platformBytes,
      long reads,
      long writes) {}

  private final ConvergeOptions options;
  private final PlatformServer platform;
  private final Fleet fleet;
  private final Edits edits;

  private ConvergeCommand(Vertx vertx, ConvergeOptions options) {
    this.options = options;
    this.platform = new PlatformServer(vertx, "127.0.0.1", 0);
    platform.start().await().indefinitely();
    this.fleet = new Fleet(options, platform.port());
    this.edits = new Edits(vertx, platform.port(), fleet, options.services());
  }

  /** Runs the command and returns its exit code. */
  public static int run(String[] args) {
    OptionParser parser = new OptionParser();
    final OptionSpec<Integer> nodes = number(parser, "nodes", "nodes in this process", 20);
    final OptionSpec<Integer> changes = number(parser, "changes", "edits to measure", 20);
    final OptionSpec<Integer> services = number(parser, "services", "services", 20);
    final OptionSpec<Integer> domains = number(parser, "domains", "failure domains", 4);
    final OptionSpec<Integer> intervalMs =
        number(parser, "edit-interval-ms", "least time between edits", 1_000);
    final OptionSpec<String> distribution =
        parser.accepts("distribution", "relay or poll").withRequiredArg().defaultsTo("relay");
    final OptionSpec<String> scenario =
        parser
            .accepts("scenario", "edits, mass-restart or platform-outage")
            .withRequiredArg()
            .defaultsTo("edits");
    parser.accepts("json", "print one JSON object");
    ConvergeOptions converge;
    OptionSet set;
    try {
      set = parser.parse(args);
      converge =
          new ConvergeOptions(
              set.valueOf(nodes),
              set.valueOf(changes),
              set.valueOf(distribution),
              set.valueOf(services),
              set.valueOf(domains),
              set.valueOf(intervalMs),
              Scenario.ofName(set.valueOf(scenario)));
    } catch (OptionException | IllegalArgumentException e) {
      System.err.println(e.getMessage());
      return EXIT_BAD_INPUT;
    }
    return execute(converge, set.has("json"));
  }

  private static OptionSpec<Integer> number(
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
      JsonObject result = new ConvergeCommand(vertx, options).measure();
      print(result, json);
      boolean broken =
          result.getLong("versions_regressed") > 0 || result.getLong("dangling_routes") > 0;
      return broken ? EXIT_FAILED : EXIT_DONE;
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

  private static void print(JsonObject result, boolean json) {
    if (json) {
      System.out.println(result.encode());
    } else {
      result.forEach(field -> System.out.println(field.getKey() + ": " + field.getValue()));
    }
  }

  private JsonObject measure() throws InterruptedException, IOException {
    fleet.start();
    long startNanos = System.nanoTime();
    long missing = fleet.awaitJoined(JOIN_TIMEOUT_MS);
    if (missing > 0) {
      throw new IllegalStateException(missing + " nodes do not know all others");
    }
    JsonObject result = head().put("joined_ms", (System.nanoTime() - startNanos) / NANOS_PER_MILLI);
    // The first edit and the first intervals warm up and are not measured.
    edits.publishAndAwait();
    Thread.sleep(Math.max(options.editIntervalMs(), SETTLE_MS));
    if (options.scenario() == Scenario.EDITS) {
      measureEdits(result);
    } else {
      result.mergeIn(new Recovery(options, platform, fleet, edits).run());
    }
    result
        .put("versions_regressed", fleet.watch().regressedCount())
        .put("dangling_routes", fleet.watch().danglingCount());
    fleet.stop();
    return result;
  }

  private void measureEdits(JsonObject result) throws InterruptedException {
    Reading before = read();
    double[] convergenceMs = new double[options.changes()];
    for (int i = 0; i < options.changes(); i++) {
      long startNanos = System.nanoTime();
      convergenceMs[i] = edits.publishAndAwait() / NANOS_PER_MILLI;
      long spentMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
      Thread.sleep(Math.max(0, options.editIntervalMs() - spentMs));
    }
    addFigures(result, convergenceMs, before, read(), usedHeapBytes());
  }

  private Reading read() {
    OperatingSystemMXBean system = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
    return new Reading(
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

  private JsonObject head() {
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

  private void addFigures(
      JsonObject result, double[] convergenceMs, Reading before, Reading after, long heapBytes) {
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

  /** Returns the value by nearest rank. */
  private static double percentile(double[] sorted, double share) {
    int rank = (int) Math.ceil(share * sorted.length);
    return sorted[Math.max(0, rank - 1)];
  }
}
