package org.acaciapond.distribution.readiness;

import java.util.HashMap;
import java.util.Map;
import org.acaciapond.config.version.ConfigVersion;

/**
 * Table of the highest version that each replica of one failure domain is known to store, with the
 * rule that decides when a version may be activated.
 */
public final class ReplicaVersions {

  /** Number of other replicas that must store a version before it may be activated. */
  private static final int REQUIRED_OTHER_REPLICAS = 2;

  private final Map<String, ConfigVersion> versions = new HashMap<>();

  /** Records that a host stores a version; an older version than the recorded one is ignored. */
  public void record(String hostId, ConfigVersion version) {
    versions.merge(hostId, version, (old, next) -> next.isAfter(old) ? next : old);
  }

  /** Removes a host, which may have lost the version it stored. */
  public void remove(String hostId) {
    versions.remove(hostId);
  }

  /** Returns how many hosts other than {@code hostId} store a version or a later one. */
  public int countOthers(String hostId, ConfigVersion version) {
    return (int)
        versions.entrySet().stream()
            .filter(entry -> !entry.getKey().equals(hostId))
            .filter(entry -> entry.getValue().compareTo(version) >= 0)
            .count();
  }

  /**
   * Returns whether a poller or relay may activate a version.
   *
   * <p>Only replicas count, because a restarting node asks only replicas for its minimum version: a
   * version stored by a poller that is not a replica could be missed.
   *
   * @param otherReplicasWithVersion number of other replicas of its domain that store the version
   * @param otherReplicas number of other replicas of its domain
   */
  public static boolean mayActivate(int otherReplicasWithVersion, int otherReplicas) {
    return otherReplicasWithVersion >= Math.min(REQUIRED_OTHER_REPLICAS, otherReplicas);
  }
}
