package org.acaciapond.bench.converge;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.acaciapond.common.settings.SettingsLoader;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.config.snapshot.Snapshot;
import org.acaciapond.config.version.ConfigVersion;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MemberState;
import org.acaciapond.node.NodeProcess;
import org.acaciapond.node.NodeSettings;

/** Nodes of the experiment in one process. */
final class Fleet {

  private static final String IP = "127.0.0.1";

  /** Event loops that the nodes share; a node of its own process has its own. */
  private static final int MAX_EVENT_LOOPS = 8;

  private static final int WORKERS = 2;

  /** Edit that the nodes are reaching. */
  private record Wave(long sequence, CountDownLatch missing) {}

  private final List<Vertx> loops = new ArrayList<>();
  private final List<NodeProcess> nodes = new ArrayList<>();
  private final FixedMembers members = new FixedMembers();
  private final ConvergeOptions options;
  private final InvariantWatch watch = new InvariantWatch();
  private volatile Wave wave = new Wave(0, new CountDownLatch(0));

  /** Creates the nodes; they are not started yet. */
  Fleet(ConvergeOptions options, int platformPort) {
    this.options = options;
    for (int i = 0; i < Math.min(MAX_EVENT_LOOPS, options.nodes()); i++) {
      loops.add(Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(WORKERS)));
    }
    for (int i = 0; i < options.nodes(); i++) {
      Member self = member(options, i, 0);
      NodeProcess node =
          new NodeProcess(
              loops.get(i % loops.size()),
              SettingsLoader.parse(
                  settings(options, self, platformPort).encode(), NodeSettings.ALL),
              TimeSource.system(),
              members.viewOf(self));
      AtomicReference<ConfigVersion> last = new AtomicReference<>(ConfigVersion.NONE);
      node.snapshots().addListener(snapshot -> onSnapshot(last, snapshot));
      nodes.add(node);
    }
  }

  private static Member member(ConvergeOptions options, int index, int peerPort) {
    return new Member(
        "host-" + index,
        1,
        IP,
        peerPort,
        0,
        options.domainOf(index),
        "default",
        options.serviceOf(index),
        "v1",
        1,
        MemberState.ALIVE);
  }

  private static JsonObject settings(ConvergeOptions options, Member self, int platformPort) {
    return new JsonObject()
        .put("host_id", self.hostId())
        .put("service", self.service())
        .put("failure_domain", self.failureDomain())
        .put("ip", IP)
        .put("outbound_port", 0)
        .put("inbound_port", 0)
        .put("peer_port", 0)
        .put("admin_port", 0)
        .put("seeds", new JsonArray())
        .put("platform", IP + ":" + platformPort)
        .put("distribution", options.distribution());
  }

  private void onSnapshot(AtomicReference<ConfigVersion> last, Snapshot snapshot) {
    ConfigVersion before = last.getAndSet(snapshot.version());
    watch.check(before, snapshot);
    Wave current = wave;
    if (before.sequence() < current.sequence()
        && snapshot.version().sequence() >= current.sequence()) {
      current.missing().countDown();
    }
  }

  /** Starts the nodes; each is known to the others once its port is. */
  void start() {
    for (int i = 0; i < nodes.size(); i++) {
      nodes.get(i).start().await().indefinitely();
      members.add(member(options, i, nodes.get(i).peerAddress().port()));
    }
  }

  void stop() {
    nodes.forEach(node -> node.stop().await().indefinitely());
    loops.forEach(loop -> loop.close().toCompletionStage().toCompletableFuture().join());
  }

  /** Expects the next edit to have a sequence; must be called before that edit is published. */
  void expect(long sequence) {
    wave = new Wave(sequence, new CountDownLatch(nodes.size()));
  }

  /** Waits until all nodes have the expected edit in force; returns how many lack it in the end. */
  long await(long timeoutMs) throws InterruptedException {
    wave.missing().await(timeoutMs, TimeUnit.MILLISECONDS);
    return wave.missing().getCount();
  }

  /** Returns the bytes that the nodes exchanged among themselves, each counted at its sender. */
  long peerBytes() {
    return nodes.stream().mapToLong(node -> node.transportCounters().sentBytes()).sum();
  }

  /** Returns the bytes that the nodes exchanged with the platform, in both directions. */
  long platformBytes() {
    return nodes.stream()
        .map(NodeProcess::platformCounters)
        .mapToLong(counters -> counters.sentBytes() + counters.receivedBytes())
        .sum();
  }

  InvariantWatch watch() {
    return watch;
  }
}
