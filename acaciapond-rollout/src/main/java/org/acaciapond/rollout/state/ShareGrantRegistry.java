package org.acaciapond.rollout.state;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Registry of the share grants and taken-back versions that one node knows; merging is idempotent
 * and independent of the order.
 */
public final class ShareGrantRegistry {

  private final Map<String, ShareGrant> grants = new HashMap<>();
  private final Set<TakenBackVersion> takenBack = new HashSet<>();
  private final RolloutInvariants invariants;

  /** Creates an empty registry. */
  public ShareGrantRegistry(RolloutInvariants invariants) {
    this.invariants = invariants;
  }

  /**
   * Stores a grant unless one with the same or a higher number is known; returns whether it did.
   */
  public boolean apply(ShareGrant grant) {
    ShareGrant known = grants.get(grant.service());
    if (known != null && known.number() >= grant.number()) {
      invariants.checkUniqueGrantNumber(known, grant);
      return false;
    }
    grants.put(grant.service(), grant);
    return true;
  }

  /** Adds a version that was taken back. */
  public void takeBack(TakenBackVersion version) {
    takenBack.add(version);
  }

  /** Adds all taken-back versions that another node knows. */
  public void merge(Collection<TakenBackVersion> versions) {
    takenBack.addAll(versions);
  }

  /** Returns whether a version was taken back. */
  public boolean isTakenBack(String service, String version) {
    return takenBack.contains(new TakenBackVersion(service, version));
  }

  /** Returns the taken-back versions that are known. */
  public Set<TakenBackVersion> takenBackVersions() {
    return Set.copyOf(takenBack);
  }

  /** Returns the share of calls that go to the given version of a service under its grant. */
  public double share(String service, String version) {
    ShareGrant grant = grants.get(service);
    double share = 0;
    if (grant != null && grant.to().equals(version) && !isTakenBack(service, version)) {
      share = grant.share();
    }
    invariants.checkNoShareAfterTakeBack(share, isTakenBack(service, version));
    invariants.checkWithinGrant(share, grant);
    return share;
  }
}
