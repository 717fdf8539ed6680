package org.acaciapond.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.acaciapond.standin.StoreFault;
import org.junit.jupiter.api.Test;

/** Tests a store that comes back from an older copy, with whole nodes. */
class StoreEraTest extends MeshTest {

  private void putState(int version, String... prefixes) {
    StringBuilder routes = new StringBuilder();
    for (String prefix : prefixes) {
      routes.append(
          ",[\"r%s\",\"a\",\"/%s/\",\"idempotent\",8000,4000,2,\"orders\",3]"
              .formatted(prefix, prefix));
    }
    deployment.store.put(
        "op", "config", STATE.formatted(version, routes).replace("\"a\"", "\"127.0.0.1\""));
  }

  private void awaitServedByAll(String path) throws InterruptedException {
    for (TestMachine each : deployment.machines()) {
      awaitCondition(
          each.settings.nodeKey() + " serves " + path,
          () -> {
            deployment.machines().forEach(machine -> machine.checkIn(false));
            return status(each, path) == 200;
          });
    }
  }

  private boolean holdsRow(String table, String key) {
    return deployment.store.holdsRow(table, key).join();
  }

  /**
   * Guards against nodes that go back with the store, that wait for its earlier versions, and whose
   * own rows stay lost. Two of the nodes do not read the store.
   */
  @Test
  void nodesKeepTheNewerStateAndTakeTheNextOne() throws Exception {
    startOrdersMesh(3);
    deployment.store.takeCopy();
    for (int i = 0; i < 20; i++) {
      putState(3 + i, "second");
    }
    awaitServedByAll("/second/1");
    final TestMachine late = deployment.startMachine("late", "orders");
    awaitServedByAll("/second/1");
    awaitCondition("row is written", () -> holdsRow("nodes", late.settings.nodeKey()));

    deployment.store.setFault(StoreFault.BUSY);
    Thread.sleep(300);
    deployment.store.restoreCopy();
    deployment.store.setFault(StoreFault.NONE);

    awaitCondition("row is written again", () -> holdsRow("nodes", late.settings.nodeKey()));
    for (TestMachine each : deployment.machines()) {
      assertEquals(200, status(each, "/second/1"));
    }
    putState(22, "second");
    putState(23, "second", "third");
    awaitServedByAll("/third/1");
    awaitServedByAll("/second/1");
  }

  /** Guards against the progress of an ended rollout that the operator never sees again. */
  @Test
  void lostProgressOfRolloutIsWrittenAgain() throws Exception {
    startOrdersMesh(2);
    deployment.store.takeCopy();
    String order = "{\"service\":\"orders\",\"to\":\"v2\",\"duration_s\":2}";
    deployment.store.put("op", "rollout/orders", order);
    awaitCondition("the rollout has ended", () -> storedProgress().contains("\"rolled_back\""));

    deployment.store.restoreCopy();
    awaitCondition("the progress is lost", () -> storedProgress().isEmpty());
    deployment.store.put("op", "rollout/orders", order);

    awaitCondition(
        "the progress is written again", () -> storedProgress().contains("\"rolled_back\""));
  }

  private String storedProgress() {
    return deployment.store.text("status", "rollout/orders").join();
  }
}
