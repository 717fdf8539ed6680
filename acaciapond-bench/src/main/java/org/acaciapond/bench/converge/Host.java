package org.acaciapond.bench.converge;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.acaciapond.common.settings.SettingsLoader;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.config.snapshot.Snapshot;
import org.acaciapond.config.version.ConfigVersion;
import org.acaciapond.node.NodeProcess;
import org.acaciapond.node.NodeSettings;
import org.acaciapond.node.membership.LocalTarget;
import org.acaciapond.protocol.transport.MessageFamily;

/** Host of the experiment; its node can crash and start again at the same peer address. */
final class Host {

  static final String IP = "127.0.0.1";

  /** Port of the announced target, which no call ever reaches. */
  private static final int TARGET_PORT = 1;

  private final ConvergeOptions options;
  private final int index;
  private final int platformPort;
  private final InvariantWatch watch;

  /** Highest version in force on this host, which no later process of it may go below. */
  private final AtomicReference<ConfigVersion> highest = new AtomicReference<>(ConfigVersion.NONE);

  private volatile NodeProcess node;
  private int peerPort;

  Host(ConvergeOptions options, int index, Vertx loop, int platformPort, InvariantWatch watch) {
    this.options = options;
    this.index = index;
    this.platformPort = platformPort;
    this.watch = watch;
    this.node = newNode(loop, List.of());
  }

  String domain() {
    return options.domainOf(index);
  }

  /** Replaces the node by a fresh one that holds nothing; the caller ends the one before. */
  void replaceNode(Vertx loop, List<String> seeds) {
    node = newNode(loop, seeds);
  }

  private NodeProcess newNode(Vertx loop, List<String> seeds) {
    NodeProcess next =
        new NodeProcess(
            loop,
            SettingsLoader.parse(settings(seeds).encode(), NodeSettings.ALL),
            TimeSource.system());
    AtomicReference<ConfigVersion> last = new AtomicReference<>(ConfigVersion.NONE);
    next.snapshots().addListener(snapshot -> onSnapshot(last, snapshot));
    next.localTarget().announce(new LocalTarget.Announcement("v1", TARGET_PORT, 1, false));
    return next;
  }

  private void onSnapshot(AtomicReference<ConfigVersion> last, Snapshot snapshot) {
    watch.check(last.getAndSet(snapshot.version()), snapshot);
    ConfigVersion before =
        highest.getAndUpdate(
            version -> snapshot.version().isAfter(version) ? snapshot.version() : version);
    watch.checkFloor(before, snapshot);
  }

  private JsonObject settings(List<String> seeds) {
    return new JsonObject()
        .put("host_id", hostId())
        .put("service", options.serviceOf(index))
        .put("failure_domain", domain())
        .put("ip", IP)
        .put("outbound_port", 0)
        .put("inbound_port", 0)
        .put("peer_port", peerPort)
        .put("admin_port", 0)
        .put("seeds", new JsonArray(seeds))
        .put("platform", IP + ":" + platformPort)
        .put("distribution", options.distribution());
  }

  /** Starts the node; it keeps the peer port when it is replaced. */
  CompletableFuture<Void> start() {
    return node.start()
        .invoke(() -> peerPort = node.peerAddress().port())
        .subscribeAsCompletionStage();
  }

  CompletableFuture<Void> stop() {
    return node.stop().subscribeAsCompletionStage();
  }

  String peerAddress() {
    return IP + ":" + peerPort;
  }

  /** Returns the sequence in force. */
  long sequence() {
    return node.snapshots().current().version().sequence();
  }

  String hostId() {
    return "host-" + index;
  }

  /** Returns the incarnation of the node that runs now. */
  long incarnation() {
    return node.membership().self().incarnation();
  }

  /** Returns whether the node knows the given incarnations of all hosts, or later ones. */
  boolean knows(Map<String, Long> incarnations) {
    return node.membership().members().stream()
            .filter(member -> !member.service().isEmpty() && member.state().acceptsWork())
            .filter(
                member ->
                    member.incarnation()
                        >= incarnations.getOrDefault(member.hostId(), Long.MAX_VALUE))
            .count()
        >= incarnations.size();
  }

  long peerBytes(MessageFamily family) {
    return node.transportCounters().sentBytes(family);
  }

  /** Returns the bytes exchanged with the platform, in both directions. */
  long platformBytes() {
    return node.platformCounters().sentBytes() + node.platformCounters().receivedBytes();
  }

  /** Returns the bytes sent to peers and exchanged with the platform. */
  long controlBytes() {
    return node.transportCounters().sentBytes() + platformBytes();
  }
}
