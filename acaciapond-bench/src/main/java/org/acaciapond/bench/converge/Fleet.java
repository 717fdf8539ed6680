package org.acaciapond.bench.converge;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
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
  private final InvariantWatch watch = new InvariantWatch();
  private volatile Wave wave = new Wave(0, new CountDownLatch(0));

  /** Creates the nodes; they are not started yet. */
  Fleet(ConvergeOptions options, int platformPort) throws IOException {
    for (int i = 0; i < Math.min(MAX_EVENT_LOOPS, options.nodes()); i++) {
      loops.add(Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(WORKERS)));
    }
    FixedMembers members = new FixedMembers();
    List<Integer> ports = freePorts(options.nodes());
    for (int i = 0; i < options.nodes(); i++) {
      Member self = member(options, i, ports.get(i));
      members.add(self);
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

  /** Returns ports that were free a moment ago; peers must know them before nodes listen. */
  private static List<Integer> freePorts(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(IP));
      sockets.add(socket);
      ports.add(socket.getLocalPort());
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
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
        .put("peer_port", self.peerPort())
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

  void start() {
    nodes.forEach(node -> node.start().await().indefinitely());
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
