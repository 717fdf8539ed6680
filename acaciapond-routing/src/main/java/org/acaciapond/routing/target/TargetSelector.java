package org.acaciapond.routing.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.config.model.ServiceConfig;
import org.jspecify.annotations.Nullable;

/**
 * Selector of the target of each attempt; safe for concurrent use, and lock-free while the
 * announced targets and the split do not change.
 *
 * <p>The split determines the version. The target is the cheaper of two weighted random choices,
 * where the cost is the expected latency times the load. Targets of the local failure domain are
 * preferred until they lack capacity.
 */
public final class TargetSelector {

  private static final long SLOW_START_NANOS = 10_000_000_000L;
  private static final double SLOW_START_INITIAL_FRACTION = 0.1;

  /** Random draws before a linear scan; with weights within a factor of 4 a scan is rare. */
  private static final int MAX_RANDOM_DRAWS = 8;

  /** Share of the local weight that must be healthy to keep all calls in the failure domain. */
  private static final double MIN_HEALTHY_LOCAL_SHARE = 0.7;

  private record VersionKey(String service, String version) {}

  private record LoadKey(String hostId, String version) {}

  private record Candidate(TargetEndpoint endpoint, TargetLoad load) {}

  private record VersionPool(
      OutlierDetector detector, Candidate[] local, Candidate[] remote, double maxWeight) {}

  private record ServicePools(
      List<TargetEndpoint> targets, VersionSplit split, Map<String, VersionPool> byVersion) {}

  private final TimeSource time;
  private final DoubleSupplier random;
  private final String localDomain;
  private final ConcurrentHashMap<String, ServicePools> pools = new ConcurrentHashMap<>();
  private final ConcurrentHashMap<VersionKey, OutlierDetector> detectors =
      new ConcurrentHashMap<>();
  private final ConcurrentHashMap<String, Map<LoadKey, TargetLoad>> loads =
      new ConcurrentHashMap<>();

  /**
   * Creates a selector.
   *
   * @param time clock for latencies, slow start and ejections
   * @param random source of numbers from 0 inclusive to 1 exclusive, safe for concurrent use
   * @param localDomain failure domain of this node
   */
  public TargetSelector(TimeSource time, DoubleSupplier random, String localDomain) {
    this.time = time;
    this.random = random;
    this.localDomain = localDomain;
  }

  /**
   * Chooses a target, or returns null when none may be used.
   *
   * @param service called service
   * @param targets its announced targets
   * @param split traffic split between its versions
   * @param pinnedVersion version that the route is pinned to, or null
   * @param stickyKey equal keys select the same version while the share does not change
   * @param excluded hosts that earlier attempts of the call have tried
   */
  public @Nullable TargetChoice choose(
      ServiceConfig service,
      List<TargetEndpoint> targets,
      VersionSplit split,
      @Nullable String pinnedVersion,
      long stickyKey,
      Set<String> excluded) {
    ServicePools current = poolsOf(service, targets, split);
    if (pinnedVersion != null) {
      return chooseVersion(current, pinnedVersion, service, excluded);
    }
    String newVersion = split.newVersion();
    if (newVersion != null && selectsNewVersion(service, split, stickyKey)) {
      TargetChoice choice = chooseVersion(current, newVersion, service, excluded);
      if (choice != null) {
        return choice;
      }
    }
    // The old version never falls back to the new one, which would exceed the granted share.
    return chooseVersion(current, split.oldVersion(), service, excluded);
  }

  private static boolean selectsNewVersion(
      ServiceConfig service, VersionSplit split, long stickyKey) {
    // Adding the service hash makes the version choices of one key independent between services.
    return hashToUnitInterval(stickyKey + service.name().hashCode()) < split.newShare();
  }

  /** Maps a key to a number from 0 to 1 (SplitMix64); consecutive keys are spread evenly. */
  private static double hashToUnitInterval(long key) {
    long mixed = key + 0x9E3779B97F4A7C15L;
    mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return ((mixed ^ (mixed >>> 31)) >>> 11) * 0x1.0p-53;
  }

  private @Nullable TargetChoice chooseVersion(
      ServicePools current, String version, ServiceConfig service, Set<String> excluded) {
    VersionPool pool = current.byVersion().get(version);
    if (pool == null) {
      return null;
    }
    long now = time.nanoTime();
    Candidate candidate = pickCandidate(pool, service.limits().slots(), excluded, now);
    if (candidate == null) {
      return null;
    }
    return new TargetChoice(candidate.endpoint(), candidate.load(), pool.detector(), time);
  }

  private @Nullable Candidate pickCandidate(
      VersionPool pool, int slots, Set<String> excluded, long now) {
    boolean preferLocal = pool.remote().length == 0 || shouldStayLocal(pool);
    Candidate[] first = preferLocal ? pool.local() : pool.remote();
    Candidate[] second = preferLocal ? pool.remote() : pool.local();
    Candidate best = pickCheaperOfTwo(pool, first, excluded, now);
    if (best != null && !lacksCapacity(best, slots, now)) {
      return claimCandidate(pool, best, first, excluded, now);
    }
    Candidate other = pickCheaperOfTwo(pool, second, excluded, now);
    if (best == null || (other != null && !lacksCapacity(other, slots, now))) {
      return other == null ? null : claimCandidate(pool, other, second, excluded, now);
    }
    return claimCandidate(pool, best, first, excluded, now);
  }

  /** Decides at random, so that only the calls beyond the healthy local capacity spill over. */
  private boolean shouldStayLocal(VersionPool pool) {
    if (pool.local().length == 0) {
      return false;
    }
    if (pool.detector().ejectedCount() == 0) {
      return true;
    }
    double totalWeight = 0;
    double healthyWeight = 0;
    for (Candidate candidate : pool.local()) {
      int weight = candidate.endpoint().weight();
      totalWeight += weight;
      healthyWeight += pool.detector().isEjected(candidate.endpoint().hostId()) ? 0 : weight;
    }
    return random.getAsDouble() * MIN_HEALTHY_LOCAL_SHARE * totalWeight < healthyWeight;
  }

  private static boolean lacksCapacity(Candidate candidate, int slots, long now) {
    return candidate.load().refusedRecently(now) || candidate.load().inFlight() >= slots;
  }

  private @Nullable Candidate pickCheaperOfTwo(
      VersionPool pool, Candidate[] candidates, Set<String> excluded, long now) {
    Candidate firstDraw = drawRandom(pool, candidates, excluded, now);
    if (firstDraw == null
        || candidates.length == 1
        || pool.detector().isEjected(hostId(firstDraw))) {
      // An ejected target is drawn only when its trial is due, and the trial needs a call.
      return firstDraw;
    }
    Candidate secondDraw = drawRandom(pool, candidates, excluded, now);
    if (secondDraw == null || secondDraw == firstDraw) {
      return firstDraw;
    }
    return cost(secondDraw, now) < cost(firstDraw, now) ? secondDraw : firstDraw;
  }

  private static String hostId(Candidate candidate) {
    return candidate.endpoint().hostId();
  }

  private static double cost(Candidate candidate, long now) {
    return candidate.load().cost(capacity(candidate, now), now);
  }

  private static double capacity(Candidate candidate, long now) {
    return candidate.endpoint().weight()
        * candidate.load().slowStartFactor(now, SLOW_START_NANOS, SLOW_START_INITIAL_FRACTION);
  }

  private @Nullable Candidate drawRandom(
      VersionPool pool, Candidate[] candidates, Set<String> excluded, long now) {
    int size = candidates.length;
    if (size == 0) {
      return null;
    }
    for (int i = 0; i < MAX_RANDOM_DRAWS; i++) {
      Candidate drawn = candidates[(int) (random.getAsDouble() * size)];
      boolean acceptedByWeight = random.getAsDouble() * pool.maxWeight() < capacity(drawn, now);
      if (acceptedByWeight && isUsable(pool, drawn, excluded)) {
        return drawn;
      }
    }
    return scanForUsable(pool, candidates, excluded, (int) (random.getAsDouble() * size));
  }

  private static @Nullable Candidate scanForUsable(
      VersionPool pool, Candidate[] candidates, Set<String> excluded, int start) {
    for (int i = 0; i < candidates.length; i++) {
      Candidate candidate = candidates[(start + i) % candidates.length];
      if (isUsable(pool, candidate, excluded)) {
        return candidate;
      }
    }
    return null;
  }

  private static boolean isUsable(VersionPool pool, Candidate candidate, Set<String> excluded) {
    return (excluded.isEmpty() || !excluded.contains(hostId(candidate)))
        && pool.detector().isAvailable(hostId(candidate));
  }

  /** Claims the trial of an ejected target; falls back to another target if the claim fails. */
  private @Nullable Candidate claimCandidate(
      VersionPool pool,
      Candidate candidate,
      Candidate[] candidates,
      Set<String> excluded,
      long now) {
    if (pool.detector().tryClaim(hostId(candidate))) {
      return candidate;
    }
    for (Candidate other : candidates) {
      if (isUsable(pool, other, excluded) && !pool.detector().isEjected(hostId(other))) {
        return other;
      }
    }
    return null;
  }

  private ServicePools poolsOf(
      ServiceConfig service, List<TargetEndpoint> targets, VersionSplit split) {
    ServicePools current = pools.get(service.name());
    if (current != null && isCurrent(current, targets, split)) {
      return current;
    }
    return rebuild(service.name(), targets, split);
  }

  private static boolean isCurrent(
      ServicePools pools, List<TargetEndpoint> targets, VersionSplit split) {
    // Lists and splits are replaced rather than modified, so identity is checked before equality.
    return (pools.targets() == targets || pools.targets().equals(targets))
        && (pools.split() == split || pools.split().equals(split));
  }

  private synchronized ServicePools rebuild(
      String service, List<TargetEndpoint> targets, VersionSplit split) {
    Map<LoadKey, TargetLoad> known = loads.getOrDefault(service, Map.of());
    Map<LoadKey, TargetLoad> kept = new HashMap<>();
    Map<String, List<Candidate>> byVersion = new HashMap<>();
    long now = time.nanoTime();
    for (TargetEndpoint target : targets) {
      LoadKey key = new LoadKey(target.hostId(), target.version());
      TargetLoad load = known.getOrDefault(key, new TargetLoad(now));
      kept.put(key, load);
      if (isRoutable(target, split)) {
        byVersion
            .computeIfAbsent(target.version(), v -> new ArrayList<>())
            .add(new Candidate(target, load));
      }
    }
    Map<String, VersionPool> built = new HashMap<>();
    byVersion.forEach((version, list) -> built.put(version, buildPool(service, version, list)));
    detectors
        .keySet()
        .removeIf(key -> key.service().equals(service) && !built.containsKey(key.version()));
    ServicePools next = new ServicePools(targets, split, built);
    loads.put(service, kept);
    pools.put(service, next);
    return next;
  }

  private static boolean isRoutable(TargetEndpoint target, VersionSplit split) {
    if (target.leaving() || split.takenBack().contains(target.version())) {
      return false;
    }
    return !target.version().equals(split.newVersion())
        || split.newTargetHostIds().isEmpty()
        || split.newTargetHostIds().contains(target.hostId());
  }

  private VersionPool buildPool(String service, String version, List<Candidate> candidates) {
    OutlierDetector detector =
        detectors.computeIfAbsent(
            new VersionKey(service, version), key -> new OutlierDetector(time));
    Set<String> ids = new HashSet<>();
    double maxWeight = 1;
    List<Candidate> local = new ArrayList<>();
    List<Candidate> remote = new ArrayList<>();
    for (Candidate candidate : candidates) {
      ids.add(hostId(candidate));
      maxWeight = Math.max(maxWeight, candidate.endpoint().weight());
      (candidate.endpoint().failureDomain().equals(localDomain) ? local : remote).add(candidate);
    }
    detector.setMembers(ids);
    return new VersionPool(
        detector, local.toArray(new Candidate[0]), remote.toArray(new Candidate[0]), maxWeight);
  }

  /** Returns the IDs of the hosts whose targets of a service are ejected. */
  public Set<String> ejectedHostIds(String service) {
    Set<String> result = new HashSet<>();
    detectors.forEach(
        (key, detector) -> {
          if (key.service().equals(service)) {
            result.addAll(detector.ejectedHostIds());
          }
        });
    return result;
  }

  /** Returns the total number of ejections by the detectors in use. */
  public long ejectionCount() {
    return detectors.values().stream().mapToLong(OutlierDetector::ejectionCount).sum();
  }
}
