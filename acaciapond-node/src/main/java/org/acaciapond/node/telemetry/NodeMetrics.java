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

/** Prometheus metrics of a node, in a registry of its own. */
public final class NodeMetrics implements CallListener {

  private static final double NANOS_PER_S = 1e9;

  /** Bounds from 0.25 ms to 8 s by doubling; the target of 1.1 ms lies between two of them. */
  private static final double[] BOUNDS_S = {
    0.00025, 0.0005, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.128, 0.256, 0.512, 1.024,
    2.048, 4.096, 8.192
  };

  private record CallKey(String service, String version, String route, CallOutcome outcome) {}

  private record CallPoints(CounterDataPoint calls, DistributionDataPoint seconds) {}

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
  private final ConcurrentHashMap<CallKey, CallPoints> points = new ConcurrentHashMap<>();
  private final Counter calls;
  private final Histogram seconds;

  /** Creates the metrics of calls and of the virtual machine. */
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
            .classicUpperBounds(BOUNDS_S)
            .withoutExemplars()
            .register(registry);
    JvmMetrics.builder().register(registry);
  }

  @Override
  public void onCall(CallRecord call) {
    CallKey key = new CallKey(call.service(), call.version(), call.route(), call.outcome());
    CallPoints found = points.get(key);
    if (found == null) {
      found = points.computeIfAbsent(key, this::newPoints);
    }
    found.calls().inc();
    found.seconds().observe(call.latencyNanos() / NANOS_PER_S);
  }

  private CallPoints newPoints(CallKey key) {
    return new CallPoints(
        calls.labelValues(key.service(), key.version(), key.route(), key.outcome().name()),
        seconds.labelValues(key.service(), key.version(), key.route()));
  }

  /** Adds the metrics of the request path. */
  public void addRequestPath(RequestPathCounters counters) {
    counter("retries", "Retries sent.", counters::retries);
    counter("retries_denied", "Retries that the budget denied.", counters::retriesDenied);
    counter("malformed_requests", "Requests that were not valid.", counters::malformedRequests);
    counter(
        "silent_connections",
        "Connections to other nodes replaced because they went silent.",
        counters::silentConnections);
    counter("refused_callers", "Calls outside the permitted reach.", counters::refusedCallers);
    counter("refused_leaving", "Calls refused while leaving.", counters::refusedLeaving);
    counter("oversized_bodies", "Calls refused for their size.", counters::oversizedBodies);
  }

  /** Adds the metrics of admission at this node. */
  public void addAdmission(AdmissionController admission) {
    counter("admitted", "Calls handed to the own target.", admission::admittedCount);
    counter("refused_queue_full", "Calls refused: queue full.", admission::refusedFullCount);
    counter("refused_deadline", "Calls refused: deadline.", admission::refusedDeadlineCount);
    gauge("admission_limit", "Calls that may run at a time.", admission::limit);
    gauge("admission_in_flight", "Calls that run now.", admission::inFlight);
    gauge("admission_queued", "Calls that wait for a slot.", admission::queued);
  }

  /** Adds the count of ejections. */
  public void addEjections(DoubleSupplier ejections) {
    counter("ejections", "Ejections of targets from their sets.", ejections);
  }

  /** Adds the metrics of the snapshot in force. */
  public void addSnapshots(SnapshotHolder holder) {
    gauge("snapshot_epoch", "Epoch in force.", () -> holder.current().version().epoch());
    gauge("snapshot_sequence", "Sequence in force.", () -> holder.current().version().sequence());
    counter("snapshots_refused_older", "Older offers refused.", holder::refusedOlderCount);
    counter(
        "snapshots_refused_contradicting",
        "Offers refused that had the position in force but other content.",
        holder::refusedContradictingCount);
  }

  /** Adds the metrics of the traffic between nodes. */
  public void addTransport(TransportCounters transport) {
    counter("transport_sent_bytes", "Bytes sent to other nodes.", transport::sentBytes);
    counter("transport_received_bytes", "Bytes received.", transport::receivedBytes);
    counter("transport_malformed_frames", "Malformed frames.", transport::malformedFrames);
  }

  /** Adds the count of violated invariants of rollouts. */
  public void addRollouts(DoubleSupplier violations) {
    counter("rollout_violations", "Violated invariants of rollouts.", violations);
  }

  private void counter(String name, String help, DoubleSupplier value) {
    CounterWithCallback.builder()
        .name("acaciapond_" + name + "_total")
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  private void gauge(String name, String help, DoubleSupplier value) {
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
      throw new UncheckedIOException("writing to memory failed", e);
    }
    return out.toByteArray();
  }
}
