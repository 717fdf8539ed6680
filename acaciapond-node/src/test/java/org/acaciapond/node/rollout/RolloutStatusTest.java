package org.acaciapond.node.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Random;
import org.acaciapond.node.telemetry.NodeMetrics;
import org.acaciapond.rollout.state.RolloutInvariants;
import org.junit.jupiter.api.Test;

/** Tests the status and metrics of rollouts at one node. */
class RolloutStatusTest {

  /** Guards against a status without a take-back, its reason or the roles of the node. */
  @Test
  void statusListsRolloutsTakenBackVersionsAndRoles() {
    AnalyzerFixture mesh = new AnalyzerFixture(1, new Random(1));
    AnalyzerFixture.Node node = mesh.nodes.get(0);
    for (int i = 0; i < 50; i++) {
      mesh.advanceSecond(AnalyzerFixture.configWithRollout(), i > 10);
    }
    JsonObject status = new JsonObject();
    new RolloutStatus(node, node.registry, () -> true, () -> true).addTo(status);
    assertEquals(new JsonArray().add("poller").add("leaf").add("judge"), status.getValue("roles"));
    JsonObject rollout = status.getJsonArray("rollouts").getJsonObject(0);
    assertEquals("TAKEN_BACK", rollout.getString("state"));
    assertEquals(0.0, rollout.getDouble("share"));
    assertTrue(rollout.getString("reason").startsWith("more errors"), rollout.encode());
    assertEquals("{\"pay-engine\":[\"v2\"]}", status.getJsonObject("taken_back").encode());
  }

  /** Guards against violations of invariants that are missing in the metrics. */
  @Test
  void violationsAreCountedInMetrics() {
    RolloutInvariants invariants = new RolloutInvariants(false);
    NodeMetrics metrics = new NodeMetrics();
    metrics.addRollouts(invariants::violations);
    invariants.checkNoShareAfterTakeBack(0.1, true);
    assertTrue(new String(metrics.text()).contains("acaciapond_rollout_violations_total 1.0"));
  }
}
