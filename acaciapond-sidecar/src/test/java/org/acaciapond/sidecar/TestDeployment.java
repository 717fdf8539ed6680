package org.acaciapond.sidecar;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.standin.StandInStore;

/** Test fixture: a simulated store and the machines that use it, all on loopback. */
public final class TestDeployment {

  private static final Duration WAIT = Duration.ofSeconds(20);

  /** Event loop of the store, which is not thread-safe, and of clients of a test. */
  public final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

  /** Simulated store. */
  public final StandInStore store;

  private final List<TestMachine> machines = new ArrayList<>();
  private final List<TestNode> nodes = new ArrayList<>();

  /** Starts the store. */
  public TestDeployment() {
    store = new StandInStore(vertx, TestMachine.HOST, 0, TimeSource.system());
    store.start().await().atMost(WAIT);
  }

  /** Starts a machine of the failure domain "z" whose target has the id "i-" and the key. */
  public TestMachine startMachine(String key, String service) {
    return startMachine(key, "z", service);
  }

  TestMachine startMachine(String key, String domain, String service) {
    TestMachine machine = new TestMachine(key, domain, service, "i-" + key, store);
    machines.add(machine);
    return machine;
  }

  /** Starts a node beside a target of the test's own. */
  public TestNode startNode(String key, String service, int targetPort) {
    TestNode node = new TestNode(key, service, targetPort, store.port());
    nodes.add(node);
    return node;
  }

  /** Returns all machines. */
  public List<TestMachine> machines() {
    return machines;
  }

  /** Stops all machines, nodes and the store. */
  public void close() {
    machines.forEach(TestMachine::close);
    nodes.forEach(TestNode::close);
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }
}
