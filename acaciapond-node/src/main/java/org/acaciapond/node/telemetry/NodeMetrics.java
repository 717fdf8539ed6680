package org.acaciapond.node.telemetry;

import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.datapoints.DistributionDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;
import org.acaciapond.config.snapshot.SnapshotHolder;
import org.acaciapond.node.proxy.RequestPathCounters;
import org.acaciapond.protocol.transport.TransportCounters;
import org.acaciapond.routing.admission.AdmissionController;
import org.acaciapond.routing.call.CallListener;
import org.acaciapond.routing.call.CallOutcome;
import org.acaciapond.routing.call.CallRecord;

/** Prometheus metrics of one node, in a registry that only this node uses. */
public final class NodeMetrics implements CallListener {

  private static final double NANOS_PER_S = 1e9;

  /** Bounds that double from 0.25 ms to 8 s; the latency goal of 1.1 ms lies between two bounds. */
  private static final double[] LATENCY_BOUNDS_S = {
    0.00025, 0.0005, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.128, 0.256, 0.512, 1.024,
    2.048, 4.096, 8.192
  };

  private record CallKey(String service, String version, String route, CallOutcome outcome) {}

  private record CallDataPoints(CounterDataPoint calls, DistributionDataPoint seconds) {}

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
  private final ConcurrentHashMap<CallKey, CallDataPoints> dataPoints = new ConcurrentHashMap<>();
  private final Counter calls;
  private final Histogram seconds;

  /** Creates the metrics of calls and of the JVM. */
  public NodeMetrics() {
    this.calls =
        Counter.builder()
            .name("acaciapond_calls_total")
            .help("Attempts of calls of the own target by outcome.")
            .labelNames("service", "version", "route", "outcome")
            .withoutExemplars()
            .register(registry);
    this.seconds =
        Histogram.builder()
            .name("acaciapond_call_seconds")
            .help("Time from the choice of the target to the end of the answer.")
            .labelNames("service", "version", "route")
            .classicOnly()
            .classicUpperBounds(LATENCY_BOUNDS_S)
            .withoutExemplars()
            .register(registry);
    JvmMetrics.builder().register(registry);
  }

  @Override
  public void onCall(CallRecord call) {
    CallKey key = new CallKey(call.service(), call.version(), call.route(), call.outcome());
    CallDataPoints callPoints = dataPoints.get(key);
    if (callPoints == null) {
      callPoints = dataPoints.computeIfAbsent(key, this::newDataPoints);
    }
    callPoints.calls().inc();
    callPoints.seconds().observe(call.latencyNanos() / NANOS_PER_S);
  }

  private CallDataPoints newDataPoints(CallKey key) {
    return new CallDataPoints(
        calls.labelValues(key.service(), key.version(), key.route(), key.outcome().name()),
        seconds.labelValues(key.service(), key.version(), key.route()));
  }

  /** Adds the metrics of the request path. */
  public void addRequestPath(RequestPathCounters counters) {
    addCounter("retries", "Retries sent.", counters::retries);
    addCounter("retries_denied", "Retries that the budget denied.", counters::retriesDenied);
    addCounter("malformed_requests", "Requests that were not valid.", counters::malformedRequests);
    addCounter(
        "silent_connections",
        "Connections to other nodes replaced because they went silent.",
        counters::silentConnections);
    addCounter("refused_callers", "Calls outside the permitted reach.", counters::refusedCallers);
    addCounter("refused_leaving", "Calls refused while leaving.", counters::refusedLeaving);
    addCounter("oversized_bodies", "Calls refused for their size.", counters::oversizedBodies);
    addCounter(
        "mismatched_responses",
        "Responses of the own target that belonged to another call.",
        counters::mismatchedResponses);
    addCounter(
        "invalid_responses",
        "Responses of the own target rejected while they were decoded.",
        counters::invalidResponses);
  }

  /** Adds the metrics of admission control. */
  public void addAdmission(AdmissionController admission) {
    addCounter("admitted", "Calls handed to the own target.", admission::admittedCount);
    addCounter("refused_queue_full", "Calls refused: queue full.", admission::refusedFullCount);
    addCounter("refused_deadline", "Calls refused: deadline.", admission::refusedDeadlineCount);
    addGauge("admission_limit", "Calls that may run at a time.", admission::limit);
    addGauge("admission_in_flight", "Calls that run now.", admission::inFlight);
    addGauge("admission_queued", "Calls that wait for a slot.", admission::queued);
  }

  /** Adds the counter of target ejections. */
  public void addEjections(DoubleSupplier ejections) {
    addCounter("ejections", "Ejections of targets from their sets.", ejections);
  }

  /** Adds the metrics of the current snapshot. */
  public void addSnapshots(SnapshotHolder holder) {
    addGauge("snapshot_epoch", "Epoch in force.", () -> holder.current().version().epoch());
    addGauge(
        "snapshot_sequence", "Sequence in force.", () -> holder.current().version().sequence());
    addCounter("snapshots_refused_older", "Older offers refused.", holder::refusedOlderCount);
    addCounter(
        "snapshots_refused_contradicting",
        "Offers refused that had the position in force but other content.",
        holder::refusedContradictingCount);
  }

  /** Adds the metrics of the traffic between nodes. */
  public void addTransport(TransportCounters transport) {
    addCounter("transport_sent_bytes", "Bytes sent to other nodes.", transport::sentBytes);
    addCounter("transport_received_bytes", "Bytes received.", transport::receivedBytes);
    addCounter("transport_malformed_frames", "Malformed frames.", transport::malformedFrames);
  }

  /** Adds the counter of violated rollout invariants. */
  public void addRollouts(DoubleSupplier violations) {
    addCounter("rollout_violations", "Violated invariants of rollouts.", violations);
  }

  private void addCounter(String name, String help, DoubleSupplier value) {
    CounterWithCallback.builder()
        .name("acaciapond_" + name + "_total")
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  private void addGauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name("acaciapond_" + name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /** Returns the media type of {@link #text()}. */
  public String contentType() {
    return writer.getContentType();
  }

  /** Returns all metrics in the text format of Prometheus. */
  public byte[] text() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      writer.write(out, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException("cannot write the metrics to a memory buffer", e);
    }
    return out.toByteArray();
  }
}
