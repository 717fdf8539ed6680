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
 * Selector of the target of each attempt; safe for several threads and free of locks while the
 * announced targets and the split stay the same.
 *
 * <p>The version follows the split, the target is the better of two random ones by expected latency
 * times load, and the own failure domain comes first until it is short of capacity.
 */
public final class TargetSelector {

  private static final long SLOW_START_NANOS = 10_000_000_000L;
  private static final double COLD_SHARE = 0.1;

  /** Draws before a linear scan; with weights within a factor of 4 a scan is rare. */
  private static final int MAX_DRAWS = 8;

  /** Share of the own domain that must be healthy to keep all calls in it. */
  private static final double HEALTHY_SHARE = 0.7;

  private record Key(String service, String version) {}

  private record LoadKey(String hostId, String version) {}

  private record Candidate(TargetEndpoint endpoint, TargetLoad load) {}

  private record Pool(
      OutlierDetector detector, Candidate[] local, Candidate[] remote, double maxWeight) {}

  private record Pools(
      List<TargetEndpoint> targets, VersionSplit split, Map<String, Pool> byVersion) {}

  private final TimeSource time;
  private final DoubleSupplier random;
  private final String ownDomain;
  private final ConcurrentHashMap<String, Pools> pools = new ConcurrentHashMap<>();
  private final ConcurrentHashMap<Key, OutlierDetector> detectors = new ConcurrentHashMap<>();
  private final ConcurrentHashMap<String, Map<LoadKey, TargetLoad>> loads =
      new ConcurrentHashMap<>();

  /**
   * Creates a selector.
   *
   * @param time clock
   * @param random source of numbers from 0 inclusive to 1 exclusive, safe for several threads
   * @param ownDomain failure domain of this node
   */
  public TargetSelector(TimeSource time, DoubleSupplier random, String ownDomain) {
    this.time = time;
    this.random = random;
    this.ownDomain = ownDomain;
  }

  /**
   * Chooses a target, or returns null when none may be used.
   *
   * @param service called service
   * @param targets its announced targets
   * @param split traffic shares of its versions
   * @param pinnedVersion version that the route is pinned to, or null
   * @param stickyKey equal keys get the same version while the share stays the same
   * @param excluded hosts that this call has already tried
   */
  public @Nullable TargetChoice choose(
      ServiceConfig service,
      List<TargetEndpoint> targets,
      VersionSplit split,
      @Nullable String pinnedVersion,
      long stickyKey,
      Set<String> excluded) {
    Pools current = poolsOf(service, targets, split);
    if (pinnedVersion != null) {
      return chooseVersion(current, pinnedVersion, service, excluded);
    }
    String newVersion = split.newVersion();
    if (newVersion != null && isNew(service, split, stickyKey)) {
      TargetChoice choice = chooseVersion(current, newVersion, service, excluded);
      if (choice != null) {
        return choice;
      }
    }
    // The old version never falls back to the new one: that would exceed the granted share.
    return chooseVersion(current, split.oldVersion(), service, excluded);
  }

  private static boolean isNew(ServiceConfig service, VersionSplit split, long stickyKey) {
    // The salt keeps the versions that one key gets from different services independent.
    return unitHash(stickyKey + service.name().hashCode()) < split.newShare();
  }

  /** Maps a key to a number from 0 to 1; consecutive keys are spread evenly. */
  private static double unitHash(long key) {
    long mixed = key + 0x9E3779B97F4A7C15L;
    mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return ((mixed ^ (mixed >>> 31)) >>> 11) * 0x1.0p-53;
  }

  private @Nullable TargetChoice chooseVersion(
      Pools current, String version, ServiceConfig service, Set<String> excluded) {
    Pool pool = current.byVersion().get(version);
    if (pool == null) {
      return null;
    }
    long now = time.nanoTime();
    Candidate candidate = pick(pool, service.limits().slots(), excluded, now);
    if (candidate == null) {
      return null;
    }
    return new TargetChoice(candidate.endpoint(), candidate.load(), pool.detector(), time);
  }

  private @Nullable Candidate pick(Pool pool, int slots, Set<String> excluded, long now) {
    boolean preferLocal = pool.remote().length == 0 || staysLocal(pool);
    Candidate[] first = preferLocal ? pool.local() : pool.remote();
    Candidate[] second = preferLocal ? pool.remote() : pool.local();
    Candidate best = better(pool, first, excluded, now);
    if (best != null && !isShort(best, slots, now)) {
      return claim(pool, best, first, excluded, now);
    }
    Candidate other = better(pool, second, excluded, now);
    if (best == null || (other != null && !isShort(other, slots, now))) {
      return other == null ? null : claim(pool, other, second, excluded, now);
    }
    return claim(pool, best, first, excluded, now);
  }

  /** Decides by chance, so that only the part of the calls that lacks capacity spills over. */
  private boolean staysLocal(Pool pool) {
    if (pool.local().length == 0) {
      return false;
    }
    if (pool.detector().ejectedCount() == 0) {
      return true;
    }
    double all = 0;
    double healthy = 0;
    for (Candidate candidate : pool.local()) {
      int weight = candidate.endpoint().weight();
      all += weight;
      healthy += pool.detector().isEjected(candidate.endpoint().hostId()) ? 0 : weight;
    }
    return random.getAsDouble() * HEALTHY_SHARE * all < healthy;
  }

  private static boolean isShort(Candidate candidate, int slots, long now) {
    return candidate.load().refusedLately(now) || candidate.load().inFlight() >= slots;
  }

  private @Nullable Candidate better(
      Pool pool, Candidate[] candidates, Set<String> excluded, long now) {
    Candidate one = draw(pool, candidates, excluded, now);
    if (one == null || candidates.length == 1 || pool.detector().isEjected(id(one))) {
      // An ejected target is drawn only when its trial is due; it then needs a call.
      return one;
    }
    Candidate two = draw(pool, candidates, excluded, now);
    if (two == null || two == one) {
      return one;
    }
    return cost(two, now) < cost(one, now) ? two : one;
  }

  private static String id(Candidate candidate) {
    return candidate.endpoint().hostId();
  }

  private static double cost(Candidate candidate, long now) {
    return candidate.load().cost(capacity(candidate, now), now);
  }

  private static double capacity(Candidate candidate, long now) {
    return candidate.endpoint().weight()
        * candidate.load().warmth(now, SLOW_START_NANOS, COLD_SHARE);
  }

  private @Nullable Candidate draw(
      Pool pool, Candidate[] candidates, Set<String> excluded, long now) {
    int size = candidates.length;
    if (size == 0) {
      return null;
    }
    for (int i = 0; i < MAX_DRAWS; i++) {
      Candidate drawn = candidates[(int) (random.getAsDouble() * size)];
      boolean heavyEnough = random.getAsDouble() * pool.maxWeight() < capacity(drawn, now);
      if (heavyEnough && isUsable(pool, drawn, excluded)) {
        return drawn;
      }
    }
    return scan(pool, candidates, excluded, (int) (random.getAsDouble() * size));
  }

  private static @Nullable Candidate scan(
      Pool pool, Candidate[] candidates, Set<String> excluded, int start) {
    for (int i = 0; i < candidates.length; i++) {
      Candidate candidate = candidates[(start + i) % candidates.length];
      if (isUsable(pool, candidate, excluded)) {
        return candidate;
      }
    }
    return null;
  }

  private static boolean isUsable(Pool pool, Candidate candidate, Set<String> excluded) {
    return (excluded.isEmpty() || !excluded.contains(id(candidate)))
        && pool.detector().mayUse(id(candidate));
  }

  /** Claims the trial call of an ejected target; takes another target when it is lost. */
  private @Nullable Candidate claim(
      Pool pool, Candidate candidate, Candidate[] candidates, Set<String> excluded, long now) {
    if (pool.detector().tryUse(id(candidate))) {
      return candidate;
    }
    for (Candidate other : candidates) {
      if (isUsable(pool, other, excluded) && !pool.detector().isEjected(id(other))) {
        return other;
      }
    }
    return null;
  }

  private Pools poolsOf(ServiceConfig service, List<TargetEndpoint> targets, VersionSplit split) {
    Pools current = pools.get(service.name());
    if (current != null && isCurrent(current, targets, split)) {
      return current;
    }
    return rebuild(service.name(), targets, split);
  }

  private static boolean isCurrent(Pools pools, List<TargetEndpoint> targets, VersionSplit split) {
    // Lists and splits are replaced rather than changed, so identity is tried before equality.
    return (pools.targets() == targets || pools.targets().equals(targets))
        && (pools.split() == split || pools.split().equals(split));
  }

  private synchronized Pools rebuild(
      String service, List<TargetEndpoint> targets, VersionSplit split) {
    Map<LoadKey, TargetLoad> known = loads.getOrDefault(service, Map.of());
    Map<LoadKey, TargetLoad> kept = new HashMap<>();
    Map<String, List<Candidate>> byVersion = new HashMap<>();
    long now = time.nanoTime();
    for (TargetEndpoint target : targets) {
      LoadKey key = new LoadKey(target.hostId(), target.version());
      TargetLoad load = known.getOrDefault(key, new TargetLoad(now));
      kept.put(key, load);
      if (mayServe(target, split)) {
        byVersion
            .computeIfAbsent(target.version(), v -> new ArrayList<>())
            .add(new Candidate(target, load));
      }
    }
    Map<String, Pool> built = new HashMap<>();
    byVersion.forEach((version, list) -> built.put(version, pool(service, version, list)));
    detectors
        .keySet()
        .removeIf(key -> key.service().equals(service) && !built.containsKey(key.version()));
    Pools next = new Pools(targets, split, built);
    loads.put(service, kept);
    pools.put(service, next);
    return next;
  }

  private static boolean mayServe(TargetEndpoint target, VersionSplit split) {
    if (target.leaving() || split.takenBack().contains(target.version())) {
      return false;
    }
    return !target.version().equals(split.newVersion())
        || split.newTargetHostIds().isEmpty()
        || split.newTargetHostIds().contains(target.hostId());
  }

  private Pool pool(String service, String version, List<Candidate> candidates) {
    OutlierDetector detector =
        detectors.computeIfAbsent(new Key(service, version), key -> new OutlierDetector(time));
    Set<String> ids = new HashSet<>();
    double maxWeight = 1;
    List<Candidate> local = new ArrayList<>();
    List<Candidate> remote = new ArrayList<>();
    for (Candidate candidate : candidates) {
      ids.add(id(candidate));
      maxWeight = Math.max(maxWeight, candidate.endpoint().weight());
      (candidate.endpoint().failureDomain().equals(ownDomain) ? local : remote).add(candidate);
    }
    detector.setMembers(ids);
    return new Pool(
        detector, local.toArray(new Candidate[0]), remote.toArray(new Candidate[0]), maxWeight);
  }

  /** Returns the ejected hosts of a service. */
  public Set<String> ejected(String service) {
    Set<String> result = new HashSet<>();
    detectors.forEach(
        (key, detector) -> {
          if (key.service().equals(service)) {
            result.addAll(detector.ejected());
          }
        });
    return result;
  }

  /** Returns how often targets were ejected from the sets in use. */
  public long ejectionCount() {
    return detectors.values().stream().mapToLong(OutlierDetector::ejectionCount).sum();
  }
}
