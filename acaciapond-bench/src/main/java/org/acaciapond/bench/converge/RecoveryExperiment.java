package org.acaciapond.bench.converge;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.acaciapond.platform.PlatformServer;

/** Experiment that measures recovery after mass restarts and platform outages. */
final class RecoveryExperiment {

  private static final double NANOS_PER_MILLI = 1e6;
  private static final long STABILIZATION_MS = 8_000;
  private static final long JOIN_TIMEOUT_MS = 120_000;
  private static final long OUTAGE_MS = 10_000;
  private static final long RESTART_DELAY_MS = 2_000;
  private static final int LATER_EDIT_COUNT = 3;
  private static final long LATER_EDIT_INTERVAL_MS = 2_000;

  private final ConvergeOptions options;
  private final PlatformServer platform;
  private final Fleet fleet;
  private final EditPublisher editPublisher;

  RecoveryExperiment(
      ConvergeOptions options, PlatformServer platform, Fleet fleet, EditPublisher editPublisher) {
    this.options = options;
    this.platform = platform;
    this.fleet = fleet;
    this.editPublisher = editPublisher;
  }

  JsonObject run() throws InterruptedException, IOException {
    JsonObject result = new JsonObject();
    editPublisher.publishAndAwait();
    result.put("steady", measurePhase(() -> Thread.sleep(STABILIZATION_MS)));
    if (options.scenario() == Scenario.MASS_RESTART) {
      result.put("one_domain", measurePhase(() -> fleet.restartDomain(0, options.domains())));
      editPublisher.publishAndAwait();
      Thread.sleep(STABILIZATION_MS);
      result.put("all_domains", measurePhase(fleet::restartAll));
      result.put("edit_after_ms", editPublisher.publishAndAwait() / NANOS_PER_MILLI);
    } else {
      result.put("outage_ms", OUTAGE_MS).put("outage", measurePhase(() -> runOutage(result)));
    }
    return result;
  }

  private interface PhaseAction {
    void run() throws InterruptedException, IOException;
  }

  /**
   * Runs an action and measures the time until the last edit is active on all nodes and the time
   * until they have discovered each other.
   */
  private JsonObject measurePhase(PhaseAction action) throws InterruptedException, IOException {
    try (PeakSampler sampler = new PeakSampler(platform.stats(), fleet.hosts())) {
      long startNanos = System.nanoTime();
      action.run();
      editPublisher.awaitActivation();
      final double activeMs = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
      long missingNodes = fleet.awaitJoined(JOIN_TIMEOUT_MS);
      final double joinedMs = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
      Thread.sleep(STABILIZATION_MS);
      PeakSampler.Peaks peaks = sampler.peaks();
      return new JsonObject()
          .put("in_force_ms", activeMs)
          .put("joined_ms", joinedMs)
          .put("nodes_not_joined", missingNodes)
          .put("peak_platform_reads_per_s", peaks.reads())
          .put("peak_platform_writes_per_s", peaks.writes())
          .put("peak_platform_refused_per_s", peaks.refused())
          .put("peak_bytes_of_one_node_per_s", peaks.nodeBytes());
    }
  }

  private void runOutage(JsonObject result) throws InterruptedException, IOException {
    final long startNanos = System.nanoTime();
    setPlatformFault("down");
    Thread.sleep(RESTART_DELAY_MS);
    var restarted = fleet.restartHalfOfDomain(0);
    long remainingMs = OUTAGE_MS - (long) ((System.nanoTime() - startNanos) / NANOS_PER_MILLI);
    long missingNodes =
        Fleet.await(
            restarted,
            host -> host.sequence() >= editPublisher.lastSequence(),
            Math.max(0, remainingMs));
    result
        .put("restarted_in_outage", restarted.size())
        .put("restarted_not_in_force_in_outage", missingNodes)
        .put(
            "restarted_in_force_ms",
            (System.nanoTime() - startNanos) / NANOS_PER_MILLI - RESTART_DELAY_MS);
    remainingMs = OUTAGE_MS - (long) ((System.nanoTime() - startNanos) / NANOS_PER_MILLI);
    Thread.sleep(Math.max(0, remainingMs));
    setPlatformFault("none");
    result.put("edit_after_outage_ms", editPublisher.publishAndAwait() / NANOS_PER_MILLI);
    double slowestMs = 0;
    for (int i = 0; i < LATER_EDIT_COUNT; i++) {
      Thread.sleep(LATER_EDIT_INTERVAL_MS);
      slowestMs = Math.max(slowestMs, editPublisher.publishAndAwait() / NANOS_PER_MILLI);
    }
    result.put("slowest_later_edit_ms", slowestMs);
  }

  private void setPlatformFault(String faultMode) throws InterruptedException, IOException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + Host.IP + ":" + platform.port() + "/faults"))
            .PUT(HttpRequest.BodyPublishers.ofString("{\"mode\":\"" + faultMode + "\"}"))
            .build();
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    client.send(request, HttpResponse.BodyHandlers.discarding());
  }
}
