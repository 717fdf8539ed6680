package org.acaciapond.sidecar.control;

import io.smallrye.mutiny.subscription.Cancellable;
import io.vertx.core.Vertx;
import java.util.List;
import org.acaciapond.http.HttpExchange;
import org.acaciapond.http.HttpResponse;
import org.acaciapond.mesh.platform.PlatformCodec;
import org.acaciapond.mesh.platform.TargetMessage;
import org.acaciapond.mesh.target.TargetDeparture;
import org.acaciapond.sidecar.target.TargetGateway;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;
import org.jspecify.annotations.Nullable;

/**
 * HTTP endpoint for the messages of the local target. A message takes effect at once. An announced
 * departure is confirmed only when it is stored, because the confirmation has to hold after this
 * node and all others have restarted.
 */
public final class ControlEndpoint {

  private static final List<String> JSON_HEADERS = List.of("Content-Type", "application/json");
  // A target takes no confirmation that arrives later than a second after its message.
  private static final int CONFIRMATION_TIMEOUT_MS = 800;

  private final Vertx vertx;
  private final PlatformCodec codec;
  private final TargetGateway gateway;
  private final DepartureRecorder departures;
  private final EventLog log;
  private final NodeMetrics metrics;

  /** Creates the endpoint. */
  public ControlEndpoint(
      Vertx vertx,
      PlatformCodec codec,
      TargetGateway gateway,
      DepartureRecorder departures,
      EventLog log,
      NodeMetrics metrics) {
    this.vertx = vertx;
    this.codec = codec;
    this.gateway = gateway;
    this.departures = departures;
    this.log = log;
    this.metrics = metrics;
  }

  /** Handles a message; it is confirmed after it has taken effect. */
  public void handle(HttpExchange exchange) {
    TargetMessage message =
        codec.decodeTargetMessage(exchange.method(), exchange.uri(), exchange.body());
    if (message instanceof TargetMessage.CheckInMessage report) {
      confirm(exchange, gateway.applyCheckIn(report.checkIn()));
    } else if (message instanceof TargetMessage.Deregistration deregistration) {
      confirm(exchange, gateway.deregister(deregistration.id(), deregistration.startedMs()));
    } else if (message instanceof TargetMessage.Invalid invalid) {
      metrics.countCheckIn("invalid");
      log.event("target_message_ignored", "problem", invalid.problem());
      exchange.respond(HttpResponse.empty(400, List.of()));
    }
  }

  private void confirm(HttpExchange exchange, @Nullable TargetDeparture departure) {
    if (departure == null) {
      respondConfirmed(exchange);
    } else {
      new PendingConfirmation(exchange, departure).start();
    }
  }

  private void respondConfirmed(HttpExchange exchange) {
    exchange.respond(new HttpResponse(200, JSON_HEADERS, codec.acknowledgement()));
  }

  /** Response to the announcement of a departure that is being stored. */
  private final class PendingConfirmation {
    private final HttpExchange exchange;
    private final TargetDeparture departure;
    private long timer;
    private @Nullable Cancellable recording;

    PendingConfirmation(HttpExchange exchange, TargetDeparture departure) {
      this.exchange = exchange;
      this.departure = departure;
    }

    void start() {
      timer = vertx.setTimer(CONFIRMATION_TIMEOUT_MS, id -> refuse());
      recording = departures.record(departure).subscribe().with(stored -> complete());
    }

    private void complete() {
      vertx.cancelTimer(timer);
      respondConfirmed(exchange);
    }

    private void refuse() {
      Cancellable pending = recording;
      if (pending != null) {
        pending.cancel();
      }
      metrics.countCheckIn("unconfirmed");
      log.event("departure_unconfirmed", "id", departure.id(), "born_ms", departure.startedMs());
      exchange.respond(HttpResponse.empty(503, List.of()));
    }
  }
}
