package org.acaciapond.distribution.readiness;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.acaciapond.config.version.ConfigVersion;

/**
 * Minimum configuration version that a starting node must reach before it is ready.
 *
 * <p>It is the highest version among the responses of the replicas, or the head of the platform if
 * that is read first.
 */
public final class MinimumVersion {

  private final Map<String, ConfigVersion> responses = new HashMap<>();
  private Set<String> replicas = Set.of();
  private Optional<ConfigVersion> minimum = Optional.empty();

  /**
   * Replaces the set of the other replicas of the failure domain; responses recorded before are
   * kept.
   */
  public void setReplicas(Collection<String> hostIds) {
    replicas = Set.copyOf(hostIds);
    updateMinimum();
  }

  /** Records the highest version that a replica stores. */
  public void onResponse(String hostId, ConfigVersion highestStored) {
    responses.put(hostId, highestStored);
    updateMinimum();
  }

  /** Records the head of the platform; no active version can be later than it. */
  public void onPlatformHead(ConfigVersion head) {
    if (minimum.isEmpty()) {
      minimum = Optional.of(head);
    }
  }

  /**
   * Sets the minimum once all replicas but one, and at least one, have responded, so that missing
   * responses alone never set a minimum.
   */
  private void updateMinimum() {
    int needed = Math.max(1, replicas.size() - 1);
    long responded = replicas.stream().filter(responses::containsKey).count();
    if (minimum.isEmpty() && responded >= needed) {
      minimum = responses.values().stream().max(ConfigVersion::compareTo);
    }
  }

  /** Returns the minimum version; empty until it is known. */
  public Optional<ConfigVersion> version() {
    return minimum;
  }

  /** Describes what is still missing to determine the minimum version. */
  public String waitingFor() {
    if (replicas.isEmpty()) {
      return "no other node of the failure domain and no platform";
    }
    return "answers of the nodes that hold the configuration: "
        + responses.size()
        + " of "
        + replicas.size();
  }
}
