package org.acaciapond.sidecar.telemetry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Locale;
import org.acaciapond.http.UnexpectedResponse;
import org.acaciapond.mesh.limit.LimitMessage;
import org.acaciapond.mesh.store.StoreArea;

/** Prometheus metrics of a node. */
public final class NodeMetrics {

  private static final double[] LATENCY_BUCKETS_S = {
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4
  };

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter requests;
  private final Counter attempts;
  private final Counter retries;
  private final Counter storeCalls;
  private final Counter checkIns;
  private final Counter connections;
  private final Counter unexpectedResponses;
  private final Counter repeatedCalls;
  private final Counter stateBytesSent;
  private final Histogram requestSeconds;
  private final Histogram targetSeconds;
  private final Counter limited;
  private final Gauge heldBytes;
  private final Gauge peakHeldBytes;
  private final Gauge stateVersion;
  private final Gauge peers;
  private final Gauge logLinesDropped;
  private final Counter unprovenVersionCalls;
  private final Gauge exposureViolations;
  private final Gauge routesOfUnknownKind;
  private final Gauge skippedEntries;
  private final Counter limitedRequests;
  private final Counter limitMessages;
  private final Gauge targetLimit;
  private final Counter overdueCalls;
  private final Gauge evacuatedDomains;
  private final Gauge storeEra;
  private final Counter malformedRows;
  private final Gauge malformedEras;

  /** Creates and registers the metrics. */
  public NodeMetrics() {
    requests = registerCounter("acaciapond_requests_total", "Requests of clients by end.", "end");
    attempts = registerCounter("acaciapond_attempts_total", "Calls to nodes by outcome.", "reason");
    retries =
        registerCounter("acaciapond_repeats_total", "Repeats by whether they were allowed.", "use");
    storeCalls =
        registerCounter("acaciapond_store_calls_total", "Calls to the store by result.", "result");
    checkIns =
        registerCounter(
            "acaciapond_check_ins_total", "Messages of the target by result.", "result");
    connections =
        registerCounter(
            "acaciapond_target_connections_total", "New connections to the target.", "result");
    unexpectedResponses =
        registerCounter(
            "acaciapond_unexpected_responses_total",
            "Responses and other bytes of the target that were not asked for.",
            "kind");
    repeatedCalls =
        registerCounter(
            "acaciapond_repeated_calls_total",
            "Calls sent to the target whose id had been sent to it before.");
    stateBytesSent =
        registerCounter(
            "acaciapond_state_bytes_sent_total", "Bytes of operator rows sent to other nodes.");
    limited =
        registerCounter(
            "acaciapond_limited_total",
            "Requests and connections that a limit of the process ended.",
            "limit");
    heldBytes = registerGauge("acaciapond_held_bytes", "Bytes of bodies that this process holds.");
    peakHeldBytes =
        registerGauge(
            "acaciapond_held_bytes_peak", "Largest number of bytes of bodies held so far.");
    requestSeconds =
        registerHistogram("acaciapond_request_seconds", "Time of a request at this node.");
    targetSeconds = registerHistogram("acaciapond_target_seconds", "Time of a call in the target.");
    stateVersion =
        registerGauge("acaciapond_state_version", "Version of the desired state in force.");
    peers =
        registerGauge("acaciapond_peers_connected", "Nodes that this node has a connection to.");
    logLinesDropped =
        registerGauge("acaciapond_log_lines_dropped", "Log lines that were not written.");
    unprovenVersionCalls =
        registerCounter(
            "acaciapond_unproven_version_calls_total",
            "Calls sent to versions that were not proven good.");
    routesOfUnknownKind =
        registerGauge(
            "acaciapond_routes_of_unknown_kind",
            "Routes whose kind of requests is unknown, so that they are not retried.");
    skippedEntries =
        registerGauge(
            "acaciapond_skipped_state_entries",
            "Entries of the desired state in force that were skipped as invalid.");
    limitedRequests =
        registerCounter(
            "acaciapond_limited_requests_total",
            "Requests of accounts with a limit by whether the limit had room.",
            "outcome");
    limitMessages =
        registerCounter(
            "acaciapond_limit_messages_total",
            "Messages of shared limits sent to other nodes.",
            "kind");
    targetLimit =
        registerGauge("acaciapond_target_limit", "Calls that may run in the target at once.");
    overdueCalls =
        registerCounter(
            "acaciapond_target_overdue_calls_total",
            "Calls that ran in the target far longer than such calls usually take.");
    evacuatedDomains =
        registerGauge(
            "acaciapond_evacuated_domains", "Failure domains whose targets get no calls.");
    malformedRows =
        registerCounter(
            "acaciapond_malformed_rows_total",
            "Rows of the store that were ignored as malformed.",
            "area");
    storeEra = registerGauge("acaciapond_store_era", "Latest known era of the store.");
    malformedEras =
        registerGauge(
            "acaciapond_malformed_store_eras", "Responses of the store with a malformed era.");
    exposureViolations =
        registerGauge(
            "acaciapond_exposure_violations",
            "Calls to versions that were not proven good, sent beyond the exposure budget.");
  }

  private Counter registerCounter(String name, String help, String... labels) {
    return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
  }

  private Gauge registerGauge(String name, String help) {
    return Gauge.builder().name(name).help(help).register(registry);
  }

  private Histogram registerHistogram(String name, String help) {
    return Histogram.builder()
        .name(name)
        .help(help)
        .labelNames("end")
        .classicOnly()
        .classicUpperBounds(LATENCY_BUCKETS_S)
        .register(registry);
  }

  /** Counts a client's request by its end and records its duration. */
  public void recordRequest(String end, long nanos) {
    requests.labelValues(end).inc();
    requestSeconds.labelValues(end).observe(nanos / 1e9);
  }

  /** Counts a call to a node by its outcome. */
  public void countAttempt(String reason) {
    attempts.labelValues(reason).inc();
  }

  /** Counts a retry that the retry budget allowed or denied. */
  public void countRetry(boolean allowed) {
    retries.labelValues(allowed ? "allowed" : "denied").inc();
  }

  /** Counts a call to the store. */
  public void countStoreCall(String result) {
    storeCalls.labelValues(result).inc();
  }

  /** Counts a message of the target. */
  public void countCheckIn(String result) {
    checkIns.labelValues(result).inc();
  }

  /** Counts a new connection to the target. */
  public void countTargetConnection(String result) {
    connections.labelValues(result).inc();
  }

  /** Counts a response, or other bytes, that the target sent without having been asked. */
  public void countUnexpectedResponse(UnexpectedResponse.Kind kind) {
    unexpectedResponses.labelValues(kind.name().toLowerCase(Locale.ROOT)).inc();
  }

  /** Counts a call whose id was sent to the target before. */
  public void countRepeatedCall() {
    repeatedCalls.inc();
  }

  /** Records how long a call ran in the target. */
  public void recordTargetTime(String end, long nanos) {
    targetSeconds.labelValues(end).observe(nanos / 1e9);
  }

  /** Counts operator rows sent to another node. */
  public void countStateBytesSent(int bytes) {
    stateBytesSent.inc(bytes);
  }

  /** Counts a request, call or connection that a limit of the process ended. */
  public void countLimited(String limit) {
    limited.labelValues(limit).inc();
  }

  /** Sets the bytes of bodies that this process holds, and their largest number so far. */
  public void setHeldBytes(long bytes, long peak) {
    heldBytes.set(bytes);
    peakHeldBytes.set(peak);
  }

  /** Sets the version of the current desired state. */
  public void setStateVersion(long version) {
    stateVersion.set(version);
  }

  /** Sets the number of connected nodes. */
  public void setConnectedPeers(int count) {
    peers.set(count);
  }

  /** Counts a call to a version that was not proven good. */
  public void countUnprovenVersionCall() {
    unprovenVersionCalls.inc();
  }

  /** Sets the number of calls that exceeded the exposure budget, which should be 0. */
  public void setExposureViolations(long count) {
    exposureViolations.set(count);
  }

  /** Sets the number of routes whose kind of requests is unknown. */
  public void setRoutesOfUnknownKind(int count) {
    routesOfUnknownKind.set(count);
  }

  /** Sets the number of entries of the desired state that were skipped as invalid. */
  public void setSkippedEntries(int count) {
    skippedEntries.set(count);
  }

  /** Counts a request of an account with a limit. */
  public void countLimitedRequest(boolean granted) {
    limitedRequests.labelValues(granted ? "granted" : "over_limit").inc();
  }

  /** Counts a message of the shared limits. */
  public void countLimitMessage(LimitMessage message) {
    limitMessages.labelValues(message.getClass().getSimpleName().toLowerCase(Locale.ROOT)).inc();
  }

  /** Sets the number of calls that may run in the target at once. */
  public void setTargetLimit(int limit) {
    targetLimit.set(limit);
  }

  /** Counts calls that run in the target far longer than such calls usually take. */
  public void countOverdueCalls(int count) {
    overdueCalls.inc(count);
  }

  /** Sets the number of evacuated failure domains. */
  public void setEvacuatedDomains(int count) {
    evacuatedDomains.set(count);
  }

  /** Counts rows of the store that were ignored as malformed. */
  public void countMalformedRows(StoreArea area, int count) {
    malformedRows.labelValues(area.name().toLowerCase(Locale.ROOT)).inc(count);
  }

  /** Sets the latest known era of the store. */
  public void setStoreEra(long era) {
    storeEra.set(era);
  }

  /** Sets the number of responses of the store with a malformed era. */
  public void setMalformedEras(long count) {
    malformedEras.set(count);
  }

  /** Sets the number of log lines that were dropped. */
  public void setLogLinesDropped(long count) {
    logLinesDropped.set(count);
  }

  /** Returns all metrics in the Prometheus text format. */
  public byte[] scrape() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      new PrometheusTextFormatWriter(false).write(bytes, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }
}
