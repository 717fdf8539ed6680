package org.acaciapond.distribution.readiness;

import java.util.HashMap;
import java.util.Map;
import org.acaciapond.config.version.ConfigVersion;

/** Highest version that each replica of one domain is known to hold, and the rule built on it. */
public final class ReplicaVersions {

  /** Other holders that a version needs before it is put in force. */
  private static final int REQUIRED_HOLDERS = 2;

  private final Map<String, ConfigVersion> held = new HashMap<>();

  /** Records that a host holds a version; an older report changes nothing. */
  public void record(String hostId, ConfigVersion version) {
    held.merge(hostId, version, (old, next) -> next.isAfter(old) ? next : old);
  }

  /** Forgets a host, which may have lost what it held. */
  public void remove(String hostId) {
    held.remove(hostId);
  }

  /** Returns how many hosts other than one hold a version or a later one. */
  public int countOthers(String hostId, ConfigVersion version) {
    return (int)
        held.entrySet().stream()
            .filter(entry -> !entry.getKey().equals(hostId))
            .filter(entry -> entry.getValue().compareTo(version) >= 0)
            .count();
  }

  /**
   * Returns whether a poller or relay may put a version in force.
   *
   * <p>Only replicas count, because only they are asked for the floor: a poller that is not a
   * replica would be missed by a replica that restarts.
   *
   * @param otherHolders other replicas of its domain that hold the version
   * @param otherReplicas other replicas of its domain
   */
  public static boolean mayActivate(int otherHolders, int otherReplicas) {
    return otherHolders >= Math.min(REQUIRED_HOLDERS, otherReplicas);
  }
}
