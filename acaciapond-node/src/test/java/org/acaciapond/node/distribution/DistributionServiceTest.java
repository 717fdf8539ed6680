package org.acaciapond.node.distribution;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against edits that do not reach all nodes after the failure of a node or the platform. */
class DistributionServiceTest {

  private static final int NODES = 6;

  private static List<String> startDomain(TestMesh mesh, String domain) {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < NODES; i++) {
      names.add(domain + "-" + i);
      mesh.startNode(names.get(i), domain);
    }
    return names;
  }

  @Test
  void anEditArrivesWhicheverNodeCrashedBeforeIt() throws Exception {
    try (TestMesh mesh = new TestMesh()) {
      mesh.awaitActivation(0);
      List<String> names = startDomain(mesh, "d");
      mesh.awaitActivation(mesh.publish("back", 1));
      for (int i = 0; i < NODES; i++) {
        mesh.crash(names.get(i));
        mesh.awaitActivation(mesh.publish("back", 10 + i));
        mesh.startNode(names.get(i), "d");
        mesh.awaitActivation(mesh.publish("back", 100 + i));
      }
    }
  }

  @Test
  void aNodeThatRestartsWhileThePlatformIsDownTakesTheVersionOfItsDomain() throws Exception {
    try (TestMesh mesh = new TestMesh()) {
      List<String> names = startDomain(mesh, "d");
      long sequence = mesh.publish("back", 1);
      mesh.awaitActivation(sequence);
      mesh.setPlatformFault("{\"mode\":\"down\"}");
      for (String name : names) {
        mesh.crash(name);
        mesh.startNode(name, "d");
        mesh.awaitActivation(sequence);
      }
      mesh.setPlatformFault("{\"mode\":\"none\"}");
      mesh.awaitActivation(mesh.publish("back", 2));
    }
  }

  @Test
  void aDomainCutOffFromThePlatformFollowsTheOtherDomain() throws Exception {
    try (TestMesh mesh = new TestMesh()) {
      startDomain(mesh, "a");
      int link = mesh.openPlatformLink();
      for (int i = 0; i < NODES; i++) {
        mesh.startNode("b-" + i, "b", link);
      }
      mesh.awaitActivation(mesh.publish("back", 1));
      mesh.cutPlatformLink();
      mesh.awaitActivation(mesh.publish("back", 2));
      mesh.awaitActivation(mesh.publish("back", 3));
    }
  }

  @Test
  void anEditThatBreaksARuleIsActiveNowhereAndTheNextOneArrives() throws Exception {
    try (TestMesh mesh = new TestMesh()) {
      startDomain(mesh, "d");
      mesh.awaitActivation(mesh.publish("back", 1));
      mesh.publish("absent", 2);
      mesh.awaitActivation(mesh.publish("back", 3));
    }
  }

  @Test
  void editsArriveWhenThePlatformLosesResponsesAndIsSlow() throws Exception {
    try (TestMesh mesh = new TestMesh()) {
      startDomain(mesh, "d");
      mesh.awaitActivation(mesh.publish("back", 1));
      mesh.setPlatformFault("{\"mode\":\"lose-answers\",\"probability\":0.3,\"seed\":5}");
      mesh.awaitActivation(mesh.publish("back", 2));
      mesh.setPlatformFault("{\"mode\":\"slow\",\"delay_ms\":300,\"probability\":0.5,\"seed\":6}");
      mesh.awaitActivation(mesh.publish("back", 3));
    }
  }
}
