package org.acaciapond.routing.target;

import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Share of the calls of a service that each of its versions receives.
 *
 * @param oldVersion version that receives the rest
 * @param newVersion version under rollout, or null outside a move
 * @param newShare share of the calls that go to the new version, from 0 to 1
 * @param newTargetHostIds hosts that carry the share of the new version; empty for all
 * @param takenBack versions that must receive nothing
 */
public record VersionSplit(
    String oldVersion,
    @Nullable String newVersion,
    double newShare,
    Set<String> newTargetHostIds,
    Set<String> takenBack) {

  /** Creates a split. */
  public VersionSplit {
    newTargetHostIds = Set.copyOf(newTargetHostIds);
    takenBack = Set.copyOf(takenBack);
  }

  /** Returns the split of a service that has one version. */
  public static VersionSplit only(String version) {
    return new VersionSplit(version, null, 0, Set.of(), Set.of());
  }
}
