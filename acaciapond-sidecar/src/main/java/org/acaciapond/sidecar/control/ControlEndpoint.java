package org.acaciapond.sidecar.control;

import java.util.List;
import org.acaciapond.http.HttpExchange;
import org.acaciapond.http.HttpResponse;
import org.acaciapond.mesh.platform.PlatformCodec;
import org.acaciapond.mesh.platform.TargetMessage;
import org.acaciapond.sidecar.target.TargetGateway;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;

/** Messages of the target beside the node. */
public final class ControlEndpoint {

  private static final List<String> JSON = List.of("Content-Type", "application/json");

  private final PlatformCodec codec;
  private final TargetGateway door;
  private final EventLog log;
  private final NodeMetrics metrics;

  /** Creates the endpoint. */
  public ControlEndpoint(
      PlatformCodec codec, TargetGateway door, EventLog log, NodeMetrics metrics) {
    this.codec = codec;
    this.door = door;
    this.log = log;
    this.metrics = metrics;
  }

  /** Takes a message; its acknowledgement is sent after it has taken effect. */
  public void handle(HttpExchange exchange) {
    TargetMessage message =
        codec.decodeTargetMessage(exchange.method(), exchange.uri(), exchange.body());
    if (message instanceof TargetMessage.Beat beat) {
      door.applyCheckIn(beat.checkIn());
    } else if (message instanceof TargetMessage.Leave leave) {
      door.deregister(leave.id(), leave.bornMs());
    } else if (message instanceof TargetMessage.Invalid invalid) {
      metrics.checkIn("invalid");
      log.event("target_message_ignored", "problem", invalid.problem());
      exchange.answer(HttpResponse.empty(400, List.of()));
      return;
    }
    exchange.answer(new HttpResponse(200, JSON, codec.acknowledgement()));
  }
}
