package org.acaciapond.membership.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.acaciapond.membership.GossipEntry;
import org.acaciapond.membership.MembershipErrorCode;
import org.acaciapond.membership.MembershipException;
import org.junit.jupiter.api.Test;

/** Tests of the limits of replicated values and of the order of their revisions. */
class ReplicatedStoreTest {

  private final ReplicatedStore store = new ReplicatedStore();

  @Test
  void olderOrEqualRevisionIsIgnored() {
    List<GossipEntry> received = new ArrayList<>();
    store.addListener(received::add);
    GossipEntry newest = new GossipEntry("head", 7, new byte[] {7});
    assertTrue(store.publish(newest));
    assertFalse(store.receive(new GossipEntry("head", 6, new byte[] {6})));
    assertFalse(store.publish(new GossipEntry("head", 7, new byte[] {8})));
    assertEquals(List.of(newest), received);
    assertEquals(newest, store.get("head").orElseThrow());
  }

  @Test
  void valuesOverTheLimitsAreRejected() {
    byte[] tooLong = new byte[ReplicatedStore.MAX_VALUE_BYTES + 1];
    MembershipException error =
        assertThrows(
            MembershipException.class, () -> store.publish(new GossipEntry("k", 1, tooLong)));
    assertEquals(MembershipErrorCode.GOSSIP_ENTRY_TOO_LONG, error.code());
    assertFalse(store.receive(new GossipEntry("k", 1, tooLong)));
    for (int i = 0; i < ReplicatedStore.MAX_ENTRIES; i++) {
      store.publish(new GossipEntry("k" + i, 1, new byte[0]));
    }
    assertThrows(
        MembershipException.class, () -> store.publish(new GossipEntry("k", 1, new byte[0])));
    assertFalse(store.receive(new GossipEntry("k", 1, new byte[0])));
    assertTrue(
        store.receive(new GossipEntry("k0", 2, new byte[0])),
        "update of an existing key was rejected");
  }
}
