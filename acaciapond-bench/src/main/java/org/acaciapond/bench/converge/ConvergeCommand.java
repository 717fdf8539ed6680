package org.acaciapond.bench.converge;

import com.sun.management.OperatingSystemMXBean;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.platform.PlatformServer;
import org.acaciapond.platform.client.ConfigPublisher;
import org.acaciapond.platform.client.HttpPlatformClient;
import org.acaciapond.platform.client.PublishResult;

/** Command {@code converge}; exits 0 when all edits arrived and no invariant broke, else 1. */
public final class ConvergeCommand {

  private static final int EXIT_DONE = 0;
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_BAD_INPUT = 2;
  private static final long PUBLISH_TIMEOUT_MS = 2_000;
  private static final long CONVERGE_TIMEOUT_MS = 60_000;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double NANOS_PER_SECOND = 1e9;

  /** Readings of the cumulative counters at one moment. */
  private record Reading(
      long nanos, long cpuNanos, long peerBytes, long platformBytes, long reads, long writes) {}

  private final ConvergeOptions options;
  private final PlatformServer platform;
  private final ConfigPublisher publisher;
  private final Fleet fleet;
  private int published;

  private ConvergeCommand(Vertx vertx, ConvergeOptions options) {
    this.options = options;
    this.platform = new PlatformServer(vertx, "127.0.0.1", 0);
    platform.start().await().indefinitely();
    this.publisher =
        new ConfigPublisher(
            new HttpPlatformClient(vertx, "127.0.0.1", platform.port(), PUBLISH_TIMEOUT_MS),
            TimeSource.system());
    this.fleet = new Fleet(options, platform.port());
  }

  /** Runs the command and returns its exit code. */
  public static int run(String[] args) {
    OptionParser parser = new OptionParser();
    final OptionSpec<Integer> nodes = number(parser, "nodes", "nodes in this process", 20);
    final OptionSpec<Integer> changes = number(parser, "changes", "edits to measure", 20);
    final OptionSpec<Integer> services = number(parser, "services", "services", 20);
    final OptionSpec<Integer> domains = number(parser, "domains", "failure domains", 2);
    final OptionSpec<Integer> intervalMs =
        number(parser, "edit-interval-ms", "least time between edits", 1_000);
    final OptionSpec<String> distribution =
        parser.accepts("distribution", "relay or poll").withRequiredArg().defaultsTo("relay");
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
              set.valueOf(intervalMs));
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
    } catch (CompletionException | IllegalStateException e) {
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

  private JsonObject measure() throws InterruptedException {
    fleet.start();
    // The first edit and the first intervals warm up and are not measured.
    publishAndAwait();
    Thread.sleep(options.editIntervalMs());
    Reading before = read();
    double[] convergenceMs = new double[options.changes()];
    for (int i = 0; i < options.changes(); i++) {
      long startNanos = System.nanoTime();
      convergenceMs[i] = publishAndAwait() / NANOS_PER_MILLI;
      long spentMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
      Thread.sleep(Math.max(0, options.editIntervalMs() - spentMs));
    }
    Reading after = read();
    long heapBytes = usedHeapBytes();
    fleet.stop();
    return toJson(convergenceMs, before, after, heapBytes);
  }

  /** Returns the nanoseconds from the call to publish, just before acceptance, to the last node. */
  private long publishAndAwait() throws InterruptedException {
    published++;
    String text = SyntheticConfig.text(options.services(), published);
    fleet.expect(published);
    long startNanos = System.nanoTime();
    PublishResult result = publisher.publish(text, "bench").await().indefinitely();
    if (result.outcome() != PublishResult.Outcome.ACCEPTED) {
      throw new IllegalStateException("edit " + published + " was " + result.outcome());
    }
    long missing = fleet.await(CONVERGE_TIMEOUT_MS);
    if (missing > 0) {
      throw new IllegalStateException(
          "edit " + published + " did not reach " + missing + " nodes in time");
    }
    return System.nanoTime() - startNanos;
  }

  private Reading read() {
    OperatingSystemMXBean system = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
    return new Reading(
        System.nanoTime(),
        system.getProcessCpuTime(),
        fleet.peerBytes(),
        fleet.platformBytes(),
        platform.stats().reads(),
        platform.stats().writes());
  }

  private static long usedHeapBytes() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  private JsonObject toJson(double[] convergenceMs, Reading before, Reading after, long heapBytes) {
    double[] sorted = convergenceMs.clone();
    Arrays.sort(sorted);
    double seconds = (after.nanos() - before.nanos()) / NANOS_PER_SECOND;
    double nodeSeconds = seconds * options.nodes();
    double peerRate = (after.peerBytes() - before.peerBytes()) / nodeSeconds;
    double platformRate = (after.platformBytes() - before.platformBytes()) / nodeSeconds;
    double cpuNanos = after.cpuNanos() - before.cpuNanos();
    return new JsonObject()
        .put("nodes", options.nodes())
        .put("nodes_per_process", options.nodes())
        .put("services", options.services())
        .put("domains", options.domains())
        .put("distribution", options.distribution())
        .put("changes", options.changes())
        .put("edit_interval_ms", options.editIntervalMs())
        .put("membership", "fixed")
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
        .put("platform_writes_per_s", (after.writes() - before.writes()) / seconds)
        .put("versions_regressed", fleet.watch().regressedCount())
        .put("dangling_routes", fleet.watch().danglingCount());
  }

  /** Returns the value by nearest rank. */
  private static double percentile(double[] sorted, double share) {
    int rank = (int) Math.ceil(share * sorted.length);
    return sorted[Math.max(0, rank - 1)];
  }
}
