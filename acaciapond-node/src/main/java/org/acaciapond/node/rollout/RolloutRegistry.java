package org.acaciapond.node.rollout;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.acaciapond.config.model.ServiceConfig;
import org.acaciapond.membership.GossipEntry;
import org.acaciapond.membership.GossipStore;
import org.acaciapond.membership.RendezvousHash;
import org.acaciapond.node.rollout.RolloutGossip.RecordedRow;
import org.acaciapond.rollout.state.RolloutInvariants;
import org.acaciapond.rollout.state.RolloutRow;
import org.acaciapond.rollout.state.RolloutState;
import org.acaciapond.rollout.state.ShareGrantRegistry;
import org.acaciapond.rollout.state.TakenBackVersion;
import org.acaciapond.routing.target.TargetDirectory;
import org.acaciapond.routing.target.TargetEndpoint;
import org.acaciapond.routing.target.VersionSplit;
import org.acaciapond.routing.target.VersionSplits;
import org.jspecify.annotations.Nullable;

/**
 * Registry of the grants and taken-back versions that this node knows; provides the version splits
 * by which requests are routed.
 *
 * <p>Readers take no lock, because a change replaces the whole state of a service.
 */
public final class RolloutRegistry implements VersionSplits {

  /** Recorded row and taken-back versions of one service. */
  private record ServiceState(@Nullable RecordedRow recorded, Set<String> takenBack) {

    static final ServiceState EMPTY = new ServiceState(null, Set.of());
  }

  /** Version split and the inputs from which it was computed. */
  private record CachedSplit(
      ServiceState state,
      String currentVersion,
      List<TargetEndpoint> targets,
      VersionSplit split) {}

  private final TargetDirectory directory;
  private final ShareGrantRegistry grants;
  private final Map<String, ServiceState> states = new ConcurrentHashMap<>();
  private final Map<String, CachedSplit> splits = new ConcurrentHashMap<>();

  /**
   * Creates a registry that is updated from gossip.
   *
   * @param gossip distributes grants and taken-back versions
   * @param directory announced targets
   * @param invariants checker of rollout invariants
   */
  public RolloutRegistry(
      GossipStore gossip, TargetDirectory directory, RolloutInvariants invariants) {
    this.directory = directory;
    this.grants = new ShareGrantRegistry(invariants);
    gossip.addListener(this::onEntry);
  }

  private synchronized void onEntry(GossipEntry entry) {
    if (entry.key().startsWith(RolloutGossip.GRANT_PREFIX)) {
      RolloutGossip.decodeGrant(entry).ifPresent(this::onRow);
    } else {
      RolloutGossip.decodeTakenBackKey(entry.key()).ifPresent(this::onTakenBack);
    }
  }

  private void onRow(RecordedRow recorded) {
    String service = recorded.row().service();
    ServiceState before = states.getOrDefault(service, ServiceState.EMPTY);
    RecordedRow known = before.recorded();
    if (known == null || recorded.revision() > known.revision()) {
      grants.apply(recorded.row().grant());
      states.put(service, new ServiceState(recorded, before.takenBack()));
      if (recorded.row().state() == RolloutState.TAKEN_BACK) {
        // The taken-back entry may be lost with all nodes that knew it, while the row remains.
        onTakenBack(new TakenBackVersion(service, recorded.row().to()));
      }
    }
  }

  private void onTakenBack(TakenBackVersion version) {
    grants.takeBack(version);
    ServiceState before = states.getOrDefault(version.service(), ServiceState.EMPTY);
    Set<String> takenBack = new HashSet<>(before.takenBack());
    takenBack.add(version.version());
    states.put(version.service(), new ServiceState(before.recorded(), Set.copyOf(takenBack)));
  }

  /** Returns the newest known row of a service. */
  Optional<RecordedRow> row(String service) {
    return Optional.ofNullable(states.getOrDefault(service, ServiceState.EMPTY).recorded());
  }

  /** Returns the newest known rows by service. */
  public Map<String, RolloutRow> rows() {
    Map<String, RolloutRow> rows = new HashMap<>();
    states.forEach(
        (service, state) -> {
          if (state.recorded() != null) {
            rows.put(service, state.recorded().row());
          }
        });
    return rows;
  }

  /** Returns the versions of a service that were taken back. */
  public Set<String> takenBack(String service) {
    return states.getOrDefault(service, ServiceState.EMPTY).takenBack();
  }

  /** Returns all known taken-back versions by service. */
  public Map<String, Set<String>> takenBack() {
    Map<String, Set<String>> versions = new HashMap<>();
    states.forEach(
        (service, state) -> {
          if (!state.takenBack().isEmpty()) {
            versions.put(service, state.takenBack());
          }
        });
    return versions;
  }

  /** Returns whether calls to a service are split between two versions and count as evidence. */
  boolean hasActiveSplit(String service) {
    CachedSplit cached = splits.get(service);
    return cached != null && cached.split().newVersion() != null;
  }

  /** Returns the number of the grant in force for a service, 0 without one. */
  long grantNumber(String service) {
    return row(service).map(recorded -> recorded.row().grantNumber()).orElse(0L);
  }

  @Override
  public VersionSplit splitOf(ServiceConfig service) {
    ServiceState state = states.getOrDefault(service.name(), ServiceState.EMPTY);
    List<TargetEndpoint> targets = directory.targets(service.name());
    CachedSplit cached = splits.get(service.name());
    if (cached != null
        && cached.state() == state
        && cached.targets() == targets
        && cached.currentVersion().equals(service.currentVersion())) {
      return cached.split();
    }
    VersionSplit split = computeSplit(service.name(), service.currentVersion(), state, targets);
    splits.put(service.name(), new CachedSplit(state, service.currentVersion(), targets, split));
    return split;
  }

  private synchronized VersionSplit computeSplit(
      String service, String current, ServiceState state, List<TargetEndpoint> targets) {
    RecordedRow recorded = state.recorded();
    Set<String> takenBack = state.takenBack();
    if (recorded == null) {
      return new VersionSplit(current, null, 0, Set.of(), takenBack);
    }
    RolloutRow row = recorded.row();
    boolean newTakenBack = takenBack.contains(row.to());
    if (newTakenBack && takenBack.contains(current)) {
      // The configuration still names a version that was taken back after its rollout, so the old
      // version gets all calls.
      return new VersionSplit(row.from(), null, 0, Set.of(), takenBack);
    }
    double share = grants.share(service, row.to());
    // If the configuration names a version taken back in an earlier rollout, the row determines the
    // versions.
    boolean rowApplies = isVersionOf(row, current) || takenBack.contains(current);
    if (rowApplies && share == 0 && takenBack.contains(current)) {
      return new VersionSplit(row.from(), null, 0, Set.of(), takenBack);
    }
    if (newTakenBack || share == 0 || !rowApplies) {
      return new VersionSplit(current, null, 0, Set.of(), takenBack);
    }
    return new VersionSplit(row.from(), row.to(), share, selectHosts(row, targets), takenBack);
  }

  /** The configuration may name either version of a rollout while both have targets. */
  private static boolean isVersionOf(RolloutRow row, String current) {
    return current.equals(row.from()) || current.equals(row.to());
  }

  /** Selects the same hosts at every node, so that the load of each new target is as granted. */
  private static Set<String> selectHosts(RolloutRow row, List<TargetEndpoint> targets) {
    List<String> hosts =
        targets.stream()
            .filter(target -> target.version().equals(row.to()) && !target.leaving())
            .map(TargetEndpoint::hostId)
            .sorted(Comparator.naturalOrder())
            .toList();
    if (row.targets() >= hosts.size()) {
      return Set.of();
    }
    return RendezvousHash.rank(row.service(), hosts).stream()
        .limit(Math.max(1, row.targets()))
        .collect(Collectors.toSet());
  }
}
