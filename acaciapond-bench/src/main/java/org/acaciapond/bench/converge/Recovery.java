package org.acaciapond.bench.converge;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.acaciapond.platform.PlatformServer;

/** Scenarios in which many nodes restart or the platform is down. */
final class Recovery {

  private static final double NANOS_PER_MILLI = 1e6;
  private static final long SETTLE_MS = 8_000;
  private static final long JOIN_TIMEOUT_MS = 120_000;
  private static final long OUTAGE_MS = 10_000;
  private static final long RESTART_AFTER_MS = 2_000;
  private static final int LATER_EDITS = 3;
  private static final long LATER_EDIT_INTERVAL_MS = 2_000;

  private final ConvergeOptions options;
  private final PlatformServer platform;
  private final Fleet fleet;
  private final Edits edits;

  Recovery(ConvergeOptions options, PlatformServer platform, Fleet fleet, Edits edits) {
    this.options = options;
    this.platform = platform;
    this.fleet = fleet;
    this.edits = edits;
  }

  JsonObject run() throws InterruptedException, IOException {
    JsonObject result = new JsonObject();
    edits.publishAndAwait();
    result.put("steady", phase(() -> Thread.sleep(SETTLE_MS)));
    if (options.scenario() == Scenario.MASS_RESTART) {
      result.put("one_domain", phase(() -> fleet.restartDomain(0, options.domains())));
      edits.publishAndAwait();
      Thread.sleep(SETTLE_MS);
      result.put("all_domains", phase(fleet::restartAll));
      result.put("edit_after_ms", edits.publishAndAwait() / NANOS_PER_MILLI);
    } else {
      result.put("outage_ms", OUTAGE_MS).put("outage", phase(() -> outage(result)));
    }
    return result;
  }

  private interface Step {
    void run() throws InterruptedException, IOException;
  }

  /** Runs a step and reports the time from its start until all nodes are in force and joined. */
  private JsonObject phase(Step step) throws InterruptedException, IOException {
    try (PeakSampler sampler = new PeakSampler(platform.stats(), fleet.hosts())) {
      long startNanos = System.nanoTime();
      step.run();
      edits.awaitInForce();
      final double inForceMs = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
      long missing = fleet.awaitJoined(JOIN_TIMEOUT_MS);
      final double joinedMs = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
      Thread.sleep(SETTLE_MS);
      PeakSampler.Peaks peaks = sampler.peaks();
      return new JsonObject()
          .put("in_force_ms", inForceMs)
          .put("joined_ms", joinedMs)
          .put("nodes_not_joined", missing)
          .put("peak_platform_reads_per_s", peaks.reads())
          .put("peak_platform_writes_per_s", peaks.writes())
          .put("peak_platform_refused_per_s", peaks.refused())
          .put("peak_bytes_of_one_node_per_s", peaks.nodeBytes());
    }
  }

  private void outage(JsonObject result) throws InterruptedException, IOException {
    final long startNanos = System.nanoTime();
    setPlatformMode("down");
    Thread.sleep(RESTART_AFTER_MS);
    var restarted = fleet.restartHalfOfDomain(0);
    long leftMs = OUTAGE_MS - (long) ((System.nanoTime() - startNanos) / NANOS_PER_MILLI);
    long missing =
        Fleet.await(restarted, host -> host.sequence() >= edits.sequence(), Math.max(0, leftMs));
    result
        .put("restarted_in_outage", restarted.size())
        .put("restarted_not_in_force_in_outage", missing)
        .put(
            "restarted_in_force_ms",
            (System.nanoTime() - startNanos) / NANOS_PER_MILLI - RESTART_AFTER_MS);
    leftMs = OUTAGE_MS - (long) ((System.nanoTime() - startNanos) / NANOS_PER_MILLI);
    Thread.sleep(Math.max(0, leftMs));
    setPlatformMode("none");
    result.put("edit_after_outage_ms", edits.publishAndAwait() / NANOS_PER_MILLI);
    double slowestMs = 0;
    for (int i = 0; i < LATER_EDITS; i++) {
      Thread.sleep(LATER_EDIT_INTERVAL_MS);
      slowestMs = Math.max(slowestMs, edits.publishAndAwait() / NANOS_PER_MILLI);
    }
    result.put("slowest_later_edit_ms", slowestMs);
  }

  private void setPlatformMode(String mode) throws InterruptedException, IOException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + Host.IP + ":" + platform.port() + "/faults"))
            .PUT(HttpRequest.BodyPublishers.ofString("{\"mode\":\"" + mode + "\"}"))
            .build();
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    client.send(request, HttpResponse.BodyHandlers.discarding());
  }
}
