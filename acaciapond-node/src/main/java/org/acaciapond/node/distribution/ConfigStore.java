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
 * Store of the configuration versions that this node has received and activated.
 *
 * <p>A replica or poller stores the full configuration before it activates it; a leaf activates its
 * scope on arrival. Confined to one event loop.
 */
final class ConfigStore {

  private static final Logger LOG = LogManager.getLogger(ConfigStore.class);

  private final String ownService;
  private final SnapshotHolder holder;
  private final GossipStore gossip;
  private final UpdateReceiver<Snapshot> scopedReceiver;
  private UpdateReceiver<MeshState> fullReceiver;
  private MeshState stored = MeshState.empty();
  private MeshState active = MeshState.empty();
  private ConfigVersion minimumVersion = ConfigVersion.NONE;
  private Consumer<MeshState> activationListener = state -> {};
  private long invalidCount;

  ConfigStore(String ownService, SnapshotHolder holder, GossipStore gossip) {
    this.ownService = ownService;
    this.holder = holder;
    this.gossip = gossip;
    this.scopedReceiver = new UpdateReceiver<>(holder.current(), this::buildScoped);
    this.fullReceiver = newFullReceiver();
  }

  private UpdateReceiver<MeshState> newFullReceiver() {
    return new UpdateReceiver<>(
        MeshState.empty(), (version, content) -> MeshState.of(version, content, stored));
  }

  private Snapshot buildScoped(ConfigVersion version, ScopedContent content) {
    return Snapshot.build(
        version, content.scope(ownService), List.copyOf(content.slices().values()));
  }

  void setActivationListener(Consumer<MeshState> listener) {
    activationListener = listener;
  }

  /** Sets the minimum version after the start; updates to earlier versions are rejected. */
  void setMinimumVersion(ConfigVersion minimum) {
    minimumVersion = minimum;
    scopedReceiver.raiseMinimumVersion(minimum);
    fullReceiver.raiseMinimumVersion(minimum);
  }

  /**
   * Returns whether this node has reached its minimum version, so that other nodes may derive
   * theirs from its versions.
   */
  boolean hasReachedMinimumVersion() {
    return highestVersion().compareTo(minimumVersion) >= 0;
  }

  /**
   * Returns whether the stored full configuration is at least at the minimum version and at the
   * version of the active snapshot.
   */
  boolean isComplete() {
    return stored.version().compareTo(minimumVersion) >= 0
        && stored.version().compareTo(snapshotVersion()) >= 0;
  }

  /** Returns the highest version of the stored full configuration and of the active snapshot. */
  ConfigVersion highestVersion() {
    return snapshotVersion().isAfter(stored.version()) ? snapshotVersion() : stored.version();
  }

  /** Applies an update of the scope of this node and activates it at once. */
  UpdateReceiver.Decision offerScoped(ConfigUpdate update) {
    UpdateReceiver.Decision decision = scopedReceiver.offer(update);
    countIfInvalid(decision, update.version());
    if (decision == UpdateReceiver.Decision.ACCEPTED) {
      activateSnapshot(scopedReceiver.state());
    }
    return decision;
  }

  /** Applies an update of the full configuration and stores the result without activating it. */
  UpdateReceiver.Decision offerFull(ConfigUpdate update) {
    UpdateReceiver.Decision decision = fullReceiver.offer(update);
    countIfInvalid(decision, update.version());
    if (decision == UpdateReceiver.Decision.ACCEPTED) {
      storeIfNewer(fullReceiver.state());
    }
    return decision;
  }

  private void countIfInvalid(UpdateReceiver.Decision decision, ConfigVersion version) {
    if (decision == UpdateReceiver.Decision.INVALID) {
      countInvalid(version, "invalid content");
    }
  }

  /** Counts and logs an invalid version. */
  void countInvalid(ConfigVersion version, String reason) {
    invalidCount++;
    LOG.warn("Rejected configuration version {}: {}", version.sequence(), reason);
  }

  /** Stores a state that is newer than the stored one; ignores others. */
  void storeIfNewer(MeshState state) {
    if (state.version().isAfter(stored.version())) {
      stored = state;
    }
  }

  /**
   * Activates the stored state if it has this version. A confirmation that enough replicas store a
   * version does not hold for any other version.
   */
  void activateStored(ConfigVersion version) {
    if (!stored.version().equals(version)) {
      return;
    }
    if (!stored.version().isAfter(active.version()) || !isComplete()) {
      return;
    }
    active = stored;
    try {
      activateSnapshot(buildScoped(active.version(), active.contentFor(ownService)));
    } catch (ConfigException e) {
      countInvalid(active.version(), String.valueOf(e.getMessage()));
    }
    activationListener.accept(active);
  }

  private void activateSnapshot(Snapshot snapshot) {
    if (holder.offer(snapshot)) {
      LOG.debug("Activated configuration version {}", snapshot.version().sequence());
      GossipHead.publish(gossip, snapshot.version());
    }
  }

  MeshState stored() {
    return stored;
  }

  MeshState active() {
    return active;
  }

  ConfigVersion scopedVersion() {
    return scopedReceiver.version();
  }

  String scopedDigest() {
    return scopedReceiver.content().digest();
  }

  ConfigVersion fullVersion() {
    return fullReceiver.version();
  }

  String fullDigest() {
    return fullReceiver.content().digest();
  }

  /** Returns the version of the active snapshot. */
  ConfigVersion snapshotVersion() {
    return holder.current().version();
  }

  long invalidCount() {
    return invalidCount;
  }
}
