package org.acaciapond.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.acaciapond.config.model.MeshConfig;
import org.acaciapond.config.model.ServiceConfig;
import org.acaciapond.config.model.VersionConfig;
import org.acaciapond.config.snapshot.Snapshot;
import org.acaciapond.config.version.ConfigVersion;
import org.acaciapond.config.version.ServiceSlice;
import org.acaciapond.distribution.readiness.MinimumVersion;
import org.acaciapond.distribution.readiness.ReplicaVersions;
import org.acaciapond.distribution.update.ConfigUpdate;
import org.acaciapond.distribution.update.ContentDelta;
import org.acaciapond.distribution.update.MeshState;
import org.acaciapond.distribution.update.ScopedContent;
import org.acaciapond.distribution.update.SubscriptionFeed;
import org.acaciapond.distribution.update.UpdateReceiver;

/** Simulation of one failure domain whose nodes exchange messages over an unreliable network. */
final class DistributionSimulation {

  private static final int POLLERS = 2;
  private static final int MIN_REPLICAS = 3;
  private static final int LEAVES = 4;
  private static final int SERVICES = 5;

  /** Replica or leaf. */
  private final class Node {
    private final String name;
    private final boolean replica;
    private final Map<Node, SubscriptionFeed> feeds = new HashMap<>();
    private UpdateReceiver<?> receiver;
    private ConfigVersion highestActive = ConfigVersion.NONE;
    private MeshState active = MeshState.empty();
    private boolean reachedMinimum = true;

    private Node(String name, boolean replica) {
      this.name = name;
      this.replica = replica;
      this.receiver = newReceiver();
    }

    private String service() {
      return "service-" + name.charAt(name.length() - 1);
    }

    private UpdateReceiver<?> newReceiver() {
      if (!replica) {
        return new UpdateReceiver<>(
            Snapshot.empty(service()),
            (version, content) ->
                Snapshot.build(
                    version, content.scope(service()), List.copyOf(content.slices().values())));
      }
      MeshState[] previous = {MeshState.empty()};
      return new UpdateReceiver<>(
          previous[0],
          (version, content) -> previous[0] = MeshState.of(version, content, previous[0]));
    }

    /** Loses all state and takes the minimum version from all other replicas but one. */
    private void restart() {
      receiver = newReceiver();
      active = MeshState.empty();
      feeds.clear();
      reachedMinimum = false;
      MinimumVersion minimumVersion = new MinimumVersion();
      List<Node> others = replicas.stream().filter(node -> node != this).toList();
      minimumVersion.setReplicas(others.stream().map(node -> node.name).toList());
      Node unresponsive = others.get(random.nextInt(others.size()));
      for (Node other : others) {
        if (other != unresponsive && other.reachedMinimum) {
          minimumVersion.onResponse(other.name, other.receiver.version());
        }
      }
      // A node with responses of too few replicas uses the head of the platform instead.
      receiver.raiseMinimumVersion(
          minimumVersion.version().orElseGet(() -> accepted.get(head).version()));
      reachedMinimum = receiver.version().compareTo(minimumVersionOrHead(minimumVersion)) >= 0;
    }

    private ConfigVersion minimumVersionOrHead(MinimumVersion minimumVersion) {
      return minimumVersion.version().orElseGet(() -> accepted.get(head).version());
    }

    private void onUpdate(ConfigUpdate update, Runnable resubscribe) {
      UpdateReceiver.Decision decision = receiver.offer(update);
      if (decision == UpdateReceiver.Decision.NEEDS_FULL) {
        send(resubscribe);
      } else if (decision == UpdateReceiver.Decision.ACCEPTED) {
        reachedMinimum = true;
        assertContent();
        if (!replica) {
          activate(receiver.version());
        }
      }
    }

    private void assertContent() {
      MeshState expectedState = accepted.get((int) receiver.version().sequence());
      ScopedContent expected =
          replica ? expectedState.fullContent() : expectedState.contentFor(service());
      assertEquals(expectedState.version(), receiver.version(), context());
      assertEquals(expected.digest(), receiver.content().digest(), "I3 " + context());
      if (receiver.state() instanceof Snapshot snapshot) {
        for (ServiceConfig service : snapshot.services().values()) {
          assertTrue(
              service.versions().contains(new VersionConfig(service.currentVersion())),
              "I2 " + context());
          assertFalse(
              service.name().equals(service())
                  && !snapshot.services().keySet().containsAll(service.dependsOn()),
              "I2 " + context());
        }
      }
    }

    private void onReplicaCount(ConfigVersion version, int otherReplicas) {
      if (reachedMinimum
          && version.equals(receiver.version())
          && receiver.state() instanceof MeshState state
          && ReplicaVersions.mayActivate(otherReplicas, replicaCount - 1)
          && version.isAfter(active.version())) {
        active = state;
        activate(version);
        pushToLeaves();
      }
    }

    private void pushToLeaves() {
      feeds.forEach(
          (leaf, feed) -> feed.advance(active).ifPresent(update -> sendUpdate(leaf, update, this)));
    }

    private void subscribe(Node leaf, ConfigVersion version, String digest) {
      SubscriptionFeed feed =
          new SubscriptionFeed(state -> state.contentFor(leaf.service()), version, digest);
      feeds.put(leaf, feed);
      feed.advance(active).ifPresent(update -> sendUpdate(leaf, update, this));
    }

    private void sendUpdate(Node leaf, ConfigUpdate update, Node from) {
      send(() -> leaf.onUpdate(corruptSometimes(update), () -> from.subscribe(leaf, NONE, "")));
    }

    private void activate(ConfigVersion version) {
      activations++;
      assertTrue(version.compareTo(highestActive) >= 0, "I1 " + context());
      highestActive = version;
    }

    private String context() {
      return name + " seed " + seed;
    }
  }

  /** Poller that reads the head; a paused poller keeps sending the state it read before. */
  private final class Poller {
    private final Map<Node, SubscriptionFeed> feeds = new HashMap<>();
    private final Map<Node, ConfigVersion> acks = new HashMap<>();
    private MeshState state = MeshState.empty();

    private void step(boolean paused) {
      if (!paused) {
        state = accepted.get(head);
      }
      for (Node replica : replicas) {
        feeds
            .computeIfAbsent(
                replica, node -> new SubscriptionFeed(MeshState::fullContent, NONE, ""))
            .advance(state)
            .ifPresent(update -> sendUpdate(replica, update));
        ConfigVersion version = replica.receiver.version();
        send(() -> acks.put(replica, version));
        int others =
            (int)
                acks.entrySet().stream()
                    .filter(ack -> ack.getKey() != replica)
                    .filter(ack -> ack.getValue().compareTo(state.version()) >= 0)
                    .count();
        ConfigVersion stored = state.version();
        send(() -> replica.onReplicaCount(stored, others));
      }
    }

    private void sendUpdate(Node replica, ConfigUpdate update) {
      send(() -> replica.onUpdate(corruptSometimes(update), () -> feeds.remove(replica)));
    }

    private void clearFeeds() {
      feeds.clear();
    }
  }

  private static final ConfigVersion NONE = ConfigVersion.NONE;

  private final long seed;
  private final SplittableRandom random;
  private final int replicaCount;
  private final List<MeshState> accepted = new ArrayList<>(List.of(MeshState.empty()));
  private final List<Runnable> network = new ArrayList<>();
  private final List<Node> replicas = new ArrayList<>();
  private final List<Node> leaves = new ArrayList<>();
  private final List<Poller> pollers = new ArrayList<>();
  private int head;
  private int activations;
  private boolean faulty = true;

  DistributionSimulation(long seed) {
    this.seed = seed;
    this.random = new SplittableRandom(seed);
    this.replicaCount = MIN_REPLICAS + random.nextInt(2);
    for (int i = 0; i < replicaCount; i++) {
      replicas.add(new Node("replica-" + i, true));
    }
    for (int i = 0; i < LEAVES; i++) {
      leaves.add(new Node("leaf-" + i, false));
    }
    for (int i = 0; i < POLLERS; i++) {
      pollers.add(new Poller());
    }
  }

  private void send(Runnable message) {
    network.add(message);
  }

  /** Drops a changed slice of an update now and then, as a faulty sender would. */
  private ConfigUpdate corruptSometimes(ConfigUpdate update) {
    if (!faulty || update.delta().changed().isEmpty() || random.nextInt(20) > 0) {
      return update;
    }
    List<ServiceSlice> part = update.delta().changed().subList(1, update.delta().changed().size());
    ContentDelta partial =
        new ContentDelta(
            part,
            update.delta().removed(),
            update.delta().callersAdded(),
            update.delta().callersRemoved());
    return new ConfigUpdate(update.version(), update.baseDigest(), partial, update.resultDigest());
  }

  private void edit() {
    List<ServiceConfig> services = new ArrayList<>();
    int count = 1 + random.nextInt(SERVICES);
    for (int i = 0; i < count; i++) {
      List<String> dependsOn = new ArrayList<>();
      for (int j = 0; j < count; j++) {
        if (j != i && random.nextInt(3) == 0) {
          dependsOn.add("service-" + j);
        }
      }
      String version = "v" + random.nextInt(3);
      services.add(
          new ServiceConfig(
              "service-" + i,
              dependsOn,
              false,
              List.of(),
              null,
              List.of(new VersionConfig(version)),
              version,
              null));
    }
    int sequence = head + 1;
    accepted.add(
        MeshState.of(
            new ConfigVersion(1, sequence, "digest-" + sequence),
            new MeshConfig(services),
            accepted.get(head)));
    head = sequence;
  }

  private void deliverOne() {
    if (network.isEmpty()) {
      return;
    }
    int index = random.nextInt(network.size());
    Runnable message = network.get(index);
    boolean duplicated = faulty && random.nextInt(5) == 0;
    if (!duplicated) {
      network.remove(index);
    }
    if (!faulty || random.nextInt(5) > 0) {
      message.run();
    }
  }

  private void subscribe(Node leaf) {
    Node replica = replicas.get(random.nextInt(replicaCount));
    ConfigVersion version = leaf.receiver.version();
    String digest = leaf.receiver.content().digest();
    send(() -> replica.subscribe(leaf, version, digest));
  }

  /**
   * Restarts a replica. At most one replica is below its minimum version at a time, as the rule for
   * the minimum version requires.
   */
  private void restartReplica() {
    if (replicas.stream().allMatch(replica -> replica.reachedMinimum)) {
      replicas.get(random.nextInt(replicaCount)).restart();
    }
  }

  void runWithFaults(int steps) {
    List<Function<DistributionSimulation, Runnable>> rareActions =
        List.of(
            s -> s::edit,
            s -> s::restartReplica,
            s -> () -> s.leaves.get(s.random.nextInt(LEAVES)).restart(),
            s -> () -> s.pollers.get(s.random.nextInt(POLLERS)).clearFeeds(),
            s -> () -> s.subscribe(s.leaves.get(s.random.nextInt(LEAVES))));
    for (int step = 0; step < steps; step++) {
      int choice = random.nextInt(60);
      if (choice < rareActions.size()) {
        rareActions.get(choice).apply(this).run();
      } else if (choice < 12) {
        pollers.get(random.nextInt(POLLERS)).step(random.nextInt(3) == 0);
      } else {
        deliverOne();
        deliverOne();
      }
    }
  }

  /** Returns how often a node activated a version. */
  int activations() {
    return activations;
  }

  /** Ends the faults and asserts that every node reaches the head. */
  void heal() {
    faulty = false;
    // New subscriptions deliver updates that were lost.
    pollers.forEach(Poller::clearFeeds);
    for (int round = 0; round < 6; round++) {
      pollers.forEach(poller -> poller.step(false));
      leaves.forEach(this::subscribe);
      while (!network.isEmpty()) {
        deliverOne();
      }
    }
    for (Node replica : replicas) {
      assertEquals(head, replica.active.version().sequence(), "I10 " + replica.context());
    }
    for (Node leaf : leaves) {
      assertEquals(head, leaf.receiver.version().sequence(), "I10 " + leaf.context());
    }
  }
}
