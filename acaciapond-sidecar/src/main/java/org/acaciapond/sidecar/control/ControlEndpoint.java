package org.acaciapond.sidecar.control;

import java.util.List;
import org.acaciapond.http.HttpExchange;
import org.acaciapond.http.HttpResponse;
import org.acaciapond.mesh.platform.PlatformCodec;
import org.acaciapond.mesh.platform.TargetMessage;
import org.acaciapond.sidecar.target.TargetGateway;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;

/** HTTP endpoint for the messages of the local target. */
public final class ControlEndpoint {

  private static final List<String> JSON_HEADERS = List.of("Content-Type", "application/json");

  private final PlatformCodec codec;
  private final TargetGateway gateway;
  private final EventLog log;
  private final NodeMetrics metrics;

  /** Creates the endpoint. */
  public ControlEndpoint(
      PlatformCodec codec, TargetGateway gateway, EventLog log, NodeMetrics metrics) {
    this.codec = codec;
    this.gateway = gateway;
    this.log = log;
    this.metrics = metrics;
  }

  /** Handles a message; it is acknowledged after it has taken effect. */
  public void handle(HttpExchange exchange) {
    TargetMessage message =
        codec.decodeTargetMessage(exchange.method(), exchange.uri(), exchange.body());
    if (message instanceof TargetMessage.CheckInMessage report) {
      gateway.applyCheckIn(report.checkIn());
    } else if (message instanceof TargetMessage.Deregistration deregistration) {
      gateway.deregister(deregistration.id(), deregistration.startedMs());
    } else if (message instanceof TargetMessage.Invalid invalid) {
      metrics.countCheckIn("invalid");
      log.event("target_message_ignored", "problem", invalid.problem());
      exchange.respond(HttpResponse.empty(400, List.of()));
      return;
    }
    exchange.respond(new HttpResponse(200, JSON_HEADERS, codec.acknowledgement()));
  }
}
