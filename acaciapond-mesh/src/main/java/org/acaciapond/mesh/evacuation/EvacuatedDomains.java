package org.acaciapond.mesh.evacuation;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.acaciapond.mesh.platform.OperatorRow;
import org.acaciapond.mesh.store.StoreVersion;
import org.jspecify.annotations.Nullable;

/**
 * Failure domains with an evacuation order in force. Their targets get no calls, even if no other
 * target is left: the operator may be about to switch the domain off.
 *
 * <p>An order that is absent when the store comes back from an older copy was most likely lost, as
 * the operator has not removed it in the new era. It stays in force for a limited time, in which
 * the operator writes it again.
 */
public final class EvacuatedDomains {

  /** Time for which a lost order stays in force. */
  static final long LOST_ORDER_VALIDITY_NANOS = 10_000_000_000L;

  private final Map<String, Order> orders = new HashMap<>();

  /** Order of a domain; the time is null unless the store has lost the order. */
  private record Order(StoreVersion version, @Nullable Long validUntilNanos) {}

  /**
   * Applies an order or its removal.
   *
   * @param version version of the store that wrote or removed the row
   * @param nowNanos monotonic time
   * @return whether the set of domains changed
   */
  public boolean apply(OperatorRow.Evacuation order, StoreVersion version, long nowNanos) {
    if (order.inForce()) {
      return orders.put(order.domain(), new Order(version, null)) == null;
    }
    Order known = orders.get(order.domain());
    if (known == null) {
      return false;
    }
    if (version.era() > known.version.era()) {
      orders.put(order.domain(), new Order(version, nowNanos + LOST_ORDER_VALIDITY_NANOS));
      return false;
    }
    orders.remove(order.domain());
    return true;
  }

  /** Ends the lost orders whose time is over; returns whether the set of domains changed. */
  public boolean expireLostOrders(long nowNanos) {
    boolean changed = false;
    for (Iterator<Order> each = orders.values().iterator(); each.hasNext(); ) {
      Long validUntilNanos = each.next().validUntilNanos;
      if (validUntilNanos != null && nowNanos - validUntilNanos >= 0) {
        each.remove();
        changed = true;
      }
    }
    return changed;
  }

  /** Returns whether a failure domain is evacuated. */
  public boolean contains(String domain) {
    return orders.containsKey(domain);
  }

  /** Returns the number of evacuated failure domains. */
  public int size() {
    return orders.size();
  }
}
