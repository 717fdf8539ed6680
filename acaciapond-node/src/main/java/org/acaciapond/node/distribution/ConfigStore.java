package org.acaciapond.node.distribution;

import java.util.List;
import java.util.function.Consumer;
import org.acaciapond.config.snapshot.Snapshot;
import org.acaciapond.config.snapshot.SnapshotHolder;
import org.acaciapond.config.version.ConfigException;
import org.acaciapond.config.version.ConfigVersion;
import org.acaciapond.distribution.update.ConfigUpdate;
import org.acaciapond.distribution.update.MeshState;
import org.acaciapond.distribution.update.ScopedContent;
import org.acaciapond.distribution.update.UpdateReceiver;
import org.acaciapond.membership.GossipStore;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Versions that this node holds and has in force.
 *
 * <p>A replica or poller holds the whole configuration before it puts it in force; a leaf puts its
 * scope in force as it arrives. Used on one event loop.
 */
final class ConfigStore {

  private static final Logger LOG = LogManager.getLogger(ConfigStore.class);

  private final String ownService;
  private final SnapshotHolder holder;
  private final GossipStore gossip;
  private final UpdateReceiver<Snapshot> scoped;
  private UpdateReceiver<MeshState> whole;
  private MeshState held = MeshState.empty();
  private MeshState active = MeshState.empty();
  private ConfigVersion floor = ConfigVersion.NONE;
  private Consumer<MeshState> onActive = state -> {};
  private long invalidCount;

  ConfigStore(String ownService, SnapshotHolder holder, GossipStore gossip) {
    this.ownService = ownService;
    this.holder = holder;
    this.gossip = gossip;
    this.scoped = new UpdateReceiver<>(holder.current(), this::buildScoped);
    this.whole = newWholeReceiver();
  }

  private UpdateReceiver<MeshState> newWholeReceiver() {
    return new UpdateReceiver<>(
        MeshState.empty(), (version, content) -> MeshState.of(version, content, held));
  }

  private Snapshot buildScoped(ConfigVersion version, ScopedContent content) {
    return Snapshot.build(
        version, content.scope(ownService), List.copyOf(content.slices().values()));
  }

  void setOnActive(Consumer<MeshState> listener) {
    onActive = listener;
  }

  /** Sets the version below which nothing is accepted after the start. */
  void setFloor(ConfigVersion least) {
    floor = least;
    scoped.raiseMinimumVersion(least);
    whole.raiseMinimumVersion(least);
  }

  /** Returns whether this node has caught up with its floor, so that its answers count. */
  boolean hasReachedFloor() {
    return highestVersion().compareTo(floor) >= 0;
  }

  /** Returns whether the whole configuration is held at the floor and at what is in force here. */
  boolean isComplete() {
    return held.version().compareTo(floor) >= 0 && held.version().compareTo(versionInForce()) >= 0;
  }

  /** Returns the highest version held, of the whole or of the own scope. */
  ConfigVersion highestVersion() {
    return versionInForce().isAfter(held.version()) ? versionInForce() : held.version();
  }

  /** Takes an update of the own scope and puts it in force at once. */
  UpdateReceiver.Decision offerScoped(ConfigUpdate update) {
    UpdateReceiver.Decision decision = scoped.offer(update);
    noteInvalid(decision, update.version());
    if (decision == UpdateReceiver.Decision.ACCEPTED) {
      putInForce(scoped.state());
    }
    return decision;
  }

  /** Takes an update of the whole configuration and holds it. */
  UpdateReceiver.Decision offerWhole(ConfigUpdate update) {
    UpdateReceiver.Decision decision = whole.offer(update);
    noteInvalid(decision, update.version());
    if (decision == UpdateReceiver.Decision.ACCEPTED) {
      hold(whole.state());
    }
    return decision;
  }

  private void noteInvalid(UpdateReceiver.Decision decision, ConfigVersion version) {
    if (decision == UpdateReceiver.Decision.INVALID) {
      countInvalid(version, "its content breaks a rule");
    }
  }

  /** Counts and logs a version that was refused as a whole. */
  void countInvalid(ConfigVersion version, String reason) {
    invalidCount++;
    LOG.warn("Refused configuration version {}: {}", version.sequence(), reason);
  }

  /** Holds a state; an older one than that held is ignored. */
  void hold(MeshState state) {
    if (state.version().isAfter(held.version())) {
      held = state;
    }
  }

  /** Puts the held state in force if it has this version; another one has its own holders. */
  void activateHeld(ConfigVersion version) {
    if (!held.version().equals(version)) {
      return;
    }
    if (!held.version().isAfter(active.version()) || !isComplete()) {
      return;
    }
    active = held;
    try {
      putInForce(buildScoped(active.version(), active.contentFor(ownService)));
    } catch (ConfigException e) {
      countInvalid(active.version(), String.valueOf(e.getMessage()));
    }
    onActive.accept(active);
  }

  private void putInForce(Snapshot snapshot) {
    if (holder.offer(snapshot)) {
      LOG.debug("Configuration version {} is in force", snapshot.version().sequence());
      GossipHead.publish(gossip, snapshot.version());
    }
  }

  MeshState held() {
    return held;
  }

  MeshState active() {
    return active;
  }

  ConfigVersion scopedVersion() {
    return scoped.version();
  }

  String scopedDigest() {
    return scoped.content().digest();
  }

  ConfigVersion wholeVersion() {
    return whole.version();
  }

  String wholeDigest() {
    return whole.content().digest();
  }

  /** Returns the version in force. */
  ConfigVersion versionInForce() {
    return holder.current().version();
  }

  long invalidCount() {
    return invalidCount;
  }
}
