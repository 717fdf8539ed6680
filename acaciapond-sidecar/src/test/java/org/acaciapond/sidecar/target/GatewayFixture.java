package org.acaciapond.sidecar.target;

import io.vertx.core.Vertx;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.DoubleSupplier;
import org.acaciapond.adapter.JsonPlatformCodec;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.http.MemoryAccount;
import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.platform.SidecarSettings;
import org.acaciapond.mesh.platform.SocketAddressSetting;
import org.acaciapond.mesh.target.CheckIn;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;

/** Test fixture: gateways to a target with one slot on loopback, and calls to it. */
final class GatewayFixture {

  static final String ROUTE = "views";

  private static final String HOST = "127.0.0.1";
  private static final String NODE = "n1";
  private static final String SERVICE = "orders";
  private static final String TARGET_ID = "i-1";
  private static final int MAX_FILES = 256;
  private static final int MAX_STATE_BYTES = 1 << 20;

  private GatewayFixture() {}

  /** Creates a gateway that admits no calls yet. */
  static TargetGateway newGateway(Vertx vertx, int targetPort, EventLog log, NodeMetrics metrics) {
    return newGateway(vertx, targetPort, () -> 0, log, metrics);
  }

  /** Creates such a gateway for a service whose cold targets tolerate the given rate. */
  static TargetGateway newGateway(
      Vertx vertx,
      int targetPort,
      DoubleSupplier coldRequestsPerS,
      EventLog log,
      NodeMetrics metrics) {
    SocketAddressSetting unused = new SocketAddressSetting(HOST, 1);
    SidecarSettings settings =
        new SidecarSettings(
            NODE,
            "z",
            SERVICE,
            unused,
            unused,
            unused,
            unused,
            unused,
            new SocketAddressSetting(HOST, targetPort),
            unused,
            MAX_FILES,
            new SidecarSettings.Bounds(6_000, 0.2, 60, 10_000, 0.1, 50, 5_000, 0.1, 20, 1.5, 8));
    return new TargetGateway(
        vertx,
        settings,
        new JsonPlatformCodec(MAX_STATE_BYTES).headers(),
        coldRequestsPerS,
        MemoryAccount.unlimited(),
        log,
        metrics,
        TimeSource.system());
  }

  /** Creates a gateway without a log that admits calls; must run on the event loop. */
  static TargetGateway startGateway(Vertx vertx, int targetPort) {
    EventLog log =
        new EventLog(
            NODE,
            new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8),
            TimeSource.system());
    TargetGateway gateway = newGateway(vertx, targetPort, log, new NodeMetrics());
    checkIn(gateway, 1);
    gateway.startAdmission();
    return gateway;
  }

  /** Applies a check-in of the target's lifetime that started at the given time. */
  static void checkIn(TargetGateway gateway, long startedMs) {
    checkIn(gateway, startedMs, 0);
  }

  /** Applies a check-in of a target that is cold for the given time. */
  static void checkIn(TargetGateway gateway, long startedMs, int coldMs) {
    gateway.applyCheckIn(new CheckIn(TARGET_ID, startedMs, 1, SERVICE, "v1", 1, false, coldMs));
  }

  /** Returns an idempotent call to the target. */
  static MeshCall call(String id, int leftMs) {
    return new MeshCall(
        id,
        "GET",
        "/views/1",
        List.of("Host", "a"),
        new byte[0],
        leftMs,
        leftMs,
        1,
        ROUTE,
        "other",
        TARGET_ID,
        true,
        false,
        "");
  }
}
