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
 * Grants and taken-back versions that this node knows, as traffic shares for the request path.
 *
 * <p>Readers take no lock: a change replaces the whole state of a service.
 */
public final class RolloutRegistry implements VersionSplits {

  /** What is known of one service. */
  private record ServiceState(@Nullable RecordedRow recorded, Set<String> takenBack) {

    static final ServiceState EMPTY = new ServiceState(null, Set.of());
  }

  /** Split together with the inputs that it was computed from. */
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
   * Creates a book that follows the gossip.
   *
   * @param gossip carries grants and facts
   * @param directory announced targets
   * @param invariants checks of every grant and share
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
      RolloutGossip.decodeFactKey(entry.key()).ifPresent(this::onFact);
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
        // The row outlives a fact that was lost with all nodes that knew it.
        onFact(new TakenBackVersion(service, recorded.row().to()));
      }
    }
  }

  private void onFact(TakenBackVersion fact) {
    grants.takeBack(fact);
    ServiceState before = states.getOrDefault(fact.service(), ServiceState.EMPTY);
    Set<String> takenBack = new HashSet<>(before.takenBack());
    takenBack.add(fact.version());
    states.put(fact.service(), new ServiceState(before.recorded(), Set.copyOf(takenBack)));
  }

  /** Returns the newest row known of a service. */
  Optional<RecordedRow> row(String service) {
    return Optional.ofNullable(states.getOrDefault(service, ServiceState.EMPTY).recorded());
  }

  /** Returns the newest rows known, by service. */
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

  /** Returns all versions known to be taken back, by service. */
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

  /** Returns whether calls to a service are evidence about a move. */
  boolean isWatched(String service) {
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
    VersionSplit split = newSplit(service.name(), service.currentVersion(), state, targets);
    splits.put(service.name(), new CachedSplit(state, service.currentVersion(), targets, split));
    return split;
  }

  private synchronized VersionSplit newSplit(
      String service, String current, ServiceState state, List<TargetEndpoint> targets) {
    RecordedRow recorded = state.recorded();
    Set<String> takenBack = state.takenBack();
    if (recorded == null) {
      return new VersionSplit(current, null, 0, Set.of(), takenBack);
    }
    RolloutRow row = recorded.row();
    boolean newGone = takenBack.contains(row.to());
    if (newGone && takenBack.contains(current)) {
      // The text still names a version that was taken back after its move; the old one serves.
      return new VersionSplit(row.from(), null, 0, Set.of(), takenBack);
    }
    double share = grants.share(service, row.to());
    // When the text names a version taken back in an earlier move, the row says who serves.
    boolean follows = isBetween(row, current) || takenBack.contains(current);
    if (follows && share == 0 && takenBack.contains(current)) {
      return new VersionSplit(row.from(), null, 0, Set.of(), takenBack);
    }
    if (newGone || share == 0 || !follows) {
      return new VersionSplit(current, null, 0, Set.of(), takenBack);
    }
    return new VersionSplit(row.from(), row.to(), share, chosenHosts(row, targets), takenBack);
  }

  /** The text may name either version of a move while both stand beside each other. */
  private static boolean isBetween(RolloutRow row, String current) {
    return current.equals(row.from()) || current.equals(row.to());
  }

  /** Every node picks the same hosts, so that the load on each new target is as granted. */
  private static Set<String> chosenHosts(RolloutRow row, List<TargetEndpoint> targets) {
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
