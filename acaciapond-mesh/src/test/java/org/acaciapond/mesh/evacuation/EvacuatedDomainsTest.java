package org.acaciapond.mesh.evacuation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.acaciapond.mesh.platform.OperatorRow;
import org.junit.jupiter.api.Test;

class EvacuatedDomainsTest {

  /** Guards against the end of one evacuation that ends another one. */
  @Test
  void eachDomainIsEvacuatedUntilItsOwnOrderIsRemoved() {
    EvacuatedDomains domains = new EvacuatedDomains();
    assertTrue(domains.apply(new OperatorRow.Evacuation("a", true)));
    assertTrue(domains.apply(new OperatorRow.Evacuation("b", true)));
    assertFalse(domains.apply(new OperatorRow.Evacuation("b", true)));

    assertTrue(domains.apply(new OperatorRow.Evacuation("a", false)));

    assertFalse(domains.contains("a"));
    assertTrue(domains.contains("b"));
    assertEquals(1, domains.size());
  }
}
