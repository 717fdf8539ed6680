package org.acaciapond.node.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.acaciapond.config.version.ConfigCodec;
import org.acaciapond.membership.GossipEntry;
import org.acaciapond.rollout.state.RolloutRow;
import org.acaciapond.rollout.state.RolloutState;
import org.junit.jupiter.api.Test;

/** Checks I4 on complete nodes: a version that was taken back receives no more calls. */
class TakenBackVersionTest {

  private static final Duration ROLLOUT_DURATION = Duration.ofSeconds(60);

  /** Twice the rollout duration, to allow for a loaded machine. */
  private static final long ROLLOUT_TIMEOUT_MS = 2 * ROLLOUT_DURATION.toMillis();

  /** Higher than any revision and grant number of the rollout itself. */
  private static final long LATE_REVISION = 1_000_000;

  /**
   * Guards against a take-back that needs the platform, and against calls to the version after a
   * late grant, a restart during the outage, an older text, or a text with it as current version.
   */
  @Test
  void takenBackVersionReceivesNothingMore() throws JsonProcessingException {
    try (FaultMesh mesh = new FaultMesh(43)) {
      mesh.vertx.setPeriodic(20, ignored -> recordTakeBacks(mesh));
      mesh.publishEdit("v1", ROLLOUT_DURATION);
      assertTrue(
          FaultMesh.waitUntil(ROLLOUT_TIMEOUT_MS, () -> mesh.recorder.countExecutions("v2") > 20),
          "no calls to v2");
      mesh.markFaultsActive();
      mesh.setPlatformFault("down", 0);
      mesh.hostsOf("back").stream()
          .filter(host -> host.version.equals("v2"))
          .forEach(host -> host.targetBehavior = Host.TargetBehavior.FAILS);
      long failureStartMs = System.currentTimeMillis();
      assertTrue(
          FaultMesh.waitUntil(
              ROLLOUT_TIMEOUT_MS,
              () ->
                  mesh.hostsOf("front").stream()
                      .allMatch(h -> mesh.recorder.knowsTakeBack(h.id, "v2"))),
          "v2 is not taken back while the platform is down");
      long takeBackMs = System.currentTimeMillis() - failureStartMs;
      System.out.println("taken back everywhere in the outage after " + takeBackMs + " ms");
      mesh.host("front-north").node.membership().publish(newLateGrant());
      FaultMesh.sleep(2_000);
      mesh.host("front-south").kill();
      mesh.startStoppedHosts();
      FaultMesh.sleep(3_000);
      mesh.heal();
      mesh.publishEdit("v1", ROLLOUT_DURATION);
      mesh.publishEdit("v2", null);
      FaultMesh.sleep(3_000);
      mesh.awaitActivation();
      mesh.awaitServing();
      assertEquals(List.of(), mesh.recorder.newViolations());
    }
  }

  private static void recordTakeBacks(FaultMesh mesh) {
    for (Host host : mesh.runningHosts()) {
      if (host.node.rollouts().registry().takenBack("back").contains("v2")) {
        mesh.recorder.recordTakeBackKnown(host.id, "v2");
      }
    }
  }

  private static GossipEntry newLateGrant() throws JsonProcessingException {
    Instant now = Instant.now();
    RolloutRow row =
        RolloutRow.started("back", "v1", "v2", LATE_REVISION, now, now.plus(ROLLOUT_DURATION))
            .withGrant(RolloutState.MOVING, 0.5, 2, "late", 1, now);
    byte[] value = ConfigCodec.mapper().writeValueAsString(row).getBytes(StandardCharsets.UTF_8);
    return new GossipEntry("grant/back", LATE_REVISION, value);
  }
}
