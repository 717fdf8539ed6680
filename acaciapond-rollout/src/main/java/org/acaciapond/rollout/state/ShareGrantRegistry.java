package org.acaciapond.rollout.state;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Grants and taken-back facts that one node knows; merging is idempotent and order-free. */
public final class ShareGrantRegistry {

  private final Map<String, ShareGrant> grants = new HashMap<>();
  private final Set<TakenBackVersion> takenBack = new HashSet<>();
  private final RolloutInvariants invariants;

  /** Creates an empty book. */
  public ShareGrantRegistry(RolloutInvariants invariants) {
    this.invariants = invariants;
  }

  /** Takes over a grant unless a newer one is known; returns whether it was taken over. */
  public boolean apply(ShareGrant grant) {
    ShareGrant known = grants.get(grant.service());
    if (known != null && known.number() >= grant.number()) {
      invariants.sameNumberSameGrant(known, grant);
      return false;
    }
    grants.put(grant.service(), grant);
    return true;
  }

  /** Adds a fact. */
  public void takeBack(TakenBackVersion fact) {
    takenBack.add(fact);
  }

  /** Adds all facts of another node. */
  public void merge(Collection<TakenBackVersion> facts) {
    takenBack.addAll(facts);
  }

  /** Returns whether a version was taken back. */
  public boolean isTakenBack(String service, String version) {
    return takenBack.contains(new TakenBackVersion(service, version));
  }

  /** Returns the facts known. */
  public Set<TakenBackVersion> facts() {
    return Set.copyOf(takenBack);
  }

  /** Returns the share of calls that go to the given version of a service under its grant. */
  public double share(String service, String version) {
    ShareGrant grant = grants.get(service);
    double share = 0;
    if (grant != null && grant.to().equals(version) && !isTakenBack(service, version)) {
      share = grant.share();
    }
    invariants.nothingAfterTakenBack(share, isTakenBack(service, version));
    invariants.withinGrant(share, grant);
    return share;
  }
}
