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

/** Guards I4 on whole nodes: a version taken back must not receive calls again. */
class TakenBackVersionTest {

  private static final Duration MOVE_TIME = Duration.ofSeconds(60);

  /** The move starts and is judged within its time; doubled for a loaded machine. */
  private static final long MOVE_LIMIT_MS = 2 * MOVE_TIME.toMillis();

  /** Later than any revision and grant that the move itself made. */
  private static final long LATE = 1_000_000;

  /**
   * Guards against a take-back that needs the platform, and against calls to the version after a
   * late grant, a restart in the outage, an older text, or a text that names it as current.
   */
  @Test
  void takenBackVersionReceivesNothingMore() throws JsonProcessingException {
    try (FaultMesh mesh = new FaultMesh(43)) {
      mesh.vertx.setPeriodic(20, ignored -> noteFacts(mesh));
      mesh.edit("v1", MOVE_TIME);
      assertTrue(
          FaultMesh.within(MOVE_LIMIT_MS, () -> mesh.recorder.runsOf("v2") > 20), "no calls to v2");
      mesh.disturb();
      mesh.platformFault("down", 0);
      mesh.of("back").stream()
          .filter(host -> host.version.equals("v2"))
          .forEach(host -> host.mood = Host.Mood.FAILS);
      long badMs = System.currentTimeMillis();
      assertTrue(
          FaultMesh.within(
              MOVE_LIMIT_MS,
              () -> mesh.of("front").stream().allMatch(h -> mesh.recorder.knows(h.id, "v2"))),
          "v2 is not taken back while the platform is down");
      long tookMs = System.currentTimeMillis() - badMs;
      System.out.println("taken back everywhere in the outage after " + tookMs + " ms");
      mesh.host("front-north").node.membership().publish(lateGrant());
      FaultMesh.pause(2_000);
      mesh.host("front-south").kill();
      mesh.startMissing();
      FaultMesh.pause(3_000);
      mesh.heal();
      mesh.edit("v1", MOVE_TIME);
      mesh.edit("v2", null);
      FaultMesh.pause(3_000);
      mesh.awaitInForce();
      mesh.awaitServing();
      assertEquals(List.of(), mesh.recorder.verdict());
    }
  }

  private static void noteFacts(FaultMesh mesh) {
    for (Host host : mesh.running()) {
      if (host.node.rollouts().registry().takenBack("back").contains("v2")) {
        mesh.recorder.factKnown(host.id, "v2");
      }
    }
  }

  private static GossipEntry lateGrant() throws JsonProcessingException {
    Instant now = Instant.now();
    RolloutRow row =
        RolloutRow.started("back", "v1", "v2", LATE, now, now.plus(MOVE_TIME))
            .withGrant(RolloutState.MOVING, 0.5, 2, "late", 1, now);
    byte[] value = ConfigCodec.mapper().writeValueAsString(row).getBytes(StandardCharsets.UTF_8);
    return new GossipEntry("grant/back", LATE, value);
  }
}
