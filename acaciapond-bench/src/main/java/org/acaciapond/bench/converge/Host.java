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

/** Simulated host whose node can crash and restart with the same peer address. */
final class Host {

  static final String IP = "127.0.0.1";

  /** Port of the announced target; no calls are sent to it. */
  private static final int UNUSED_TARGET_PORT = 1;

  private final ConvergeOptions options;
  private final int index;
  private final int platformPort;
  private final SnapshotInvariantChecker invariantChecker;

  /** Highest version active on this host so far; a restarted node must not go below it. */
  private final AtomicReference<ConfigVersion> highestVersion =
      new AtomicReference<>(ConfigVersion.NONE);

  private volatile NodeProcess node;
  private int peerPort;

  Host(
      ConvergeOptions options,
      int index,
      Vertx vertx,
      int platformPort,
      SnapshotInvariantChecker invariantChecker) {
    this.options = options;
    this.index = index;
    this.platformPort = platformPort;
    this.invariantChecker = invariantChecker;
    this.node = newNode(vertx, List.of());
  }

  String domain() {
    return options.domainOf(index);
  }

  /** Replaces the node by a new one without state; the caller has stopped the previous node. */
  void replaceNode(Vertx vertx, List<String> seedAddresses) {
    node = newNode(vertx, seedAddresses);
  }

  private NodeProcess newNode(Vertx vertx, List<String> seedAddresses) {
    NodeProcess next =
        new NodeProcess(
            vertx,
            SettingsLoader.parse(settings(seedAddresses).encode(), NodeSettings.ALL),
            TimeSource.system());
    AtomicReference<ConfigVersion> lastVersion = new AtomicReference<>(ConfigVersion.NONE);
    next.snapshots().addListener(snapshot -> onSnapshot(lastVersion, snapshot));
    next.localTarget().announce(new LocalTarget.Announcement("v1", UNUSED_TARGET_PORT, 1, false));
    return next;
  }

  private void onSnapshot(AtomicReference<ConfigVersion> lastVersion, Snapshot snapshot) {
    invariantChecker.checkUpdate(lastVersion.getAndSet(snapshot.version()), snapshot);
    ConfigVersion before =
        highestVersion.getAndUpdate(
            version -> snapshot.version().isAfter(version) ? snapshot.version() : version);
    invariantChecker.checkNotBelow(before, snapshot);
  }

  private JsonObject settings(List<String> seedAddresses) {
    return new JsonObject()
        .put("host_id", hostId())
        .put("service", options.serviceOf(index))
        .put("failure_domain", domain())
        .put("ip", IP)
        .put("outbound_port", 0)
        .put("inbound_port", 0)
        .put("peer_port", peerPort)
        .put("admin_port", 0)
        .put("seeds", new JsonArray(seedAddresses))
        .put("platform", IP + ":" + platformPort)
        .put("distribution", options.distribution());
  }

  /** Starts the node; a replaced node reuses the peer port of its predecessor. */
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

  /** Returns the sequence number of the active configuration. */
  long sequence() {
    return node.snapshots().current().version().sequence();
  }

  String hostId() {
    return "host-" + index;
  }

  /** Returns the incarnation of the current node. */
  long incarnation() {
    return node.membership().self().incarnation();
  }

  /** Returns whether the node knows all hosts with the given or later incarnations. */
  boolean knowsAll(Map<String, Long> incarnations) {
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

  /** Returns the number of bytes exchanged with the platform in both directions. */
  long platformBytes() {
    return node.platformCounters().sentBytes() + node.platformCounters().receivedBytes();
  }

  /** Returns the number of bytes sent to peers or exchanged with the platform. */
  long controlBytes() {
    return node.transportCounters().sentBytes() + platformBytes();
  }
}
