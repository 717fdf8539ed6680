package org.acaciapond.mesh.evacuation;

import java.util.Set;
import java.util.TreeSet;
import org.acaciapond.mesh.platform.OperatorRow;

/**
 * Failure domains with an evacuation order in force. Their targets get no calls, even if no other
 * target is left: the operator may be about to switch the domain off.
 */
public final class EvacuatedDomains {

  private Set<String> domains = Set.of();

  /** Applies an order or its removal; returns whether the set of domains changed. */
  public boolean apply(OperatorRow.Evacuation order) {
    Set<String> next = new TreeSet<>(domains);
    boolean changed = order.inForce() ? next.add(order.domain()) : next.remove(order.domain());
    domains = Set.copyOf(next);
    return changed;
  }

  /** Returns whether a failure domain is evacuated. */
  public boolean contains(String domain) {
    return domains.contains(domain);
  }

  /** Returns the number of evacuated failure domains. */
  public int size() {
    return domains.size();
  }
}
