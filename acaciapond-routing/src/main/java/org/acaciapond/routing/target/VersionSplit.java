package org.acaciapond.routing.target;

import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Split of the calls of a service between its current version and the version under rollout.
 *
 * @param oldVersion version that receives the calls outside the share of the new version
 * @param newVersion version under rollout, or null when no rollout is running
 * @param newShare share of the calls that go to the new version, from 0 to 1
 * @param newTargetHostIds hosts whose targets receive the share of the new version; empty for all
 * @param takenBack versions that must receive no calls
 */
public record VersionSplit(
    String oldVersion,
    @Nullable String newVersion,
    double newShare,
    Set<String> newTargetHostIds,
    Set<String> takenBack) {

  /** Creates a split with copies of the sets. */
  public VersionSplit {
    newTargetHostIds = Set.copyOf(newTargetHostIds);
    takenBack = Set.copyOf(takenBack);
  }

  /** Returns a split that sends all calls to one version. */
  public static VersionSplit only(String version) {
    return new VersionSplit(version, null, 0, Set.of(), Set.of());
  }
}
