package org.acaciapond.mesh.evacuation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.acaciapond.mesh.platform.OperatorRow;
import org.acaciapond.mesh.store.StoreVersion;
import org.junit.jupiter.api.Test;

class EvacuatedDomainsTest {

  private final EvacuatedDomains domains = new EvacuatedDomains();

  private boolean apply(String domain, boolean inForce, StoreVersion version) {
    return domains.apply(new OperatorRow.Evacuation(domain, inForce), version, 0);
  }

  /** Guards against the end of one evacuation that ends another one. */
  @Test
  void eachDomainIsEvacuatedUntilItsOwnOrderIsRemoved() {
    assertTrue(apply("a", true, new StoreVersion(1, 3)));
    assertTrue(apply("b", true, new StoreVersion(1, 4)));
    assertFalse(apply("b", true, new StoreVersion(1, 5)));

    assertTrue(apply("a", false, new StoreVersion(1, 6)));

    assertFalse(domains.contains("a"));
    assertTrue(domains.contains("b"));
    assertEquals(1, domains.size());
  }

  /** Guards against calls to a domain because the store came back from a copy without its order. */
  @Test
  void orderThatTheStoreLostStaysInForceUntilItIsWrittenAgainOrTimeIsOver() {
    apply("a", true, new StoreVersion(1, 60));
    apply("b", true, new StoreVersion(1, 61));

    assertFalse(apply("a", false, new StoreVersion(2, 45)));
    assertFalse(apply("b", false, new StoreVersion(2, 45)));
    assertFalse(apply("b", true, new StoreVersion(2, 46)));

    assertFalse(domains.expireLostOrders(EvacuatedDomains.LOST_ORDER_VALIDITY_NANOS - 1));
    assertTrue(domains.contains("a"));
    assertTrue(domains.expireLostOrders(EvacuatedDomains.LOST_ORDER_VALIDITY_NANOS));
    assertFalse(domains.contains("a"));
    assertTrue(domains.contains("b"));
  }
}
