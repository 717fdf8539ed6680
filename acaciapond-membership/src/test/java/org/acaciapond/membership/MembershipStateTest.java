package org.acaciapond.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests of the responses of one state machine to single messages. */
class MembershipStateTest {

  private static final NodeAddress PEER = new NodeAddress("10.0.0.2", 7_000);

  private final MembershipState state =
      new MembershipState(
          MembershipSettings.DEFAULTS,
          member(1, 100, MemberState.ALIVE),
          List.of(),
          new SplittableRandom(1),
          0);

  private static Member member(int number, long incarnation, MemberState state) {
    return new Member(
        "h" + number, incarnation, "10.0.0." + number, 7_000, 8, "a", "r", "s", "v", 1, state);
  }

  private List<MembershipAction> receive(long nowMs, MembershipBody body, Member... members) {
    MembershipPacket packet =
        new MembershipPacket("h2", 1, PEER, body, List.of(members), List.of());
    return state.onMessage(nowMs, PEER, packet);
  }

  private List<MembershipAction> receiveUpdates(long nowMs, Member... members) {
    return receive(nowMs, new MembershipBody.Updates(), members);
  }

  private void tickUntil(long endMs) {
    for (long nowMs = 100; nowMs <= endMs; nowMs += 100) {
      state.tick(nowMs);
    }
  }

  @Test
  void recordOfEarlierProcessWithHigherIncarnationIsRefuted() {
    receiveUpdates(10, member(1, 500, MemberState.LEFT));
    assertEquals(501, state.self().incarnation());
    assertEquals(MemberState.ALIVE, state.self().state());
  }

  @Test
  void tombstoneIsRemovedAfterItsRetention() {
    receiveUpdates(10, member(3, 1, MemberState.LEFT));
    tickUntil(3_590_000);
    assertEquals(MemberState.LEFT, state.find("h3").state());
    for (long nowMs = 3_590_100; nowMs < 3_620_000; nowMs += 100) {
      state.tick(nowMs);
    }
    assertNull(state.find("h3"), "tombstone was not removed");
  }

  @Test
  void staleRecordIsAnsweredWithTombstone() {
    receiveUpdates(10, member(3, 1, MemberState.LEFT));
    List<MembershipAction> actions = receiveUpdates(20, member(3, 1, MemberState.ALIVE));
    assertTrue(
        actions.stream()
            .anyMatch(
                a ->
                    a instanceof MembershipAction.Send send
                        && send.packet().members().contains(member(3, 1, MemberState.LEFT))));
  }

  @Test
  void deathReportIsTreatedAsSuspicionFirst() {
    receiveUpdates(10, member(2, 1, MemberState.ALIVE), member(3, 1, MemberState.ALIVE));
    receiveUpdates(20, member(3, 1, MemberState.DEAD));
    assertEquals(MemberState.SUSPECT, state.find("h3").state());
    receiveUpdates(1_000, member(3, 2, MemberState.ALIVE));
    tickUntil(2_000);
    assertEquals(MemberState.ALIVE, state.find("h3").state());
  }

  @Test
  void concurrentTransfersToJoiningNodesAreLimited() {
    for (int i = 0; i < 1_000; i++) {
      receiveUpdates(1, member(1_000 + i, 1, MemberState.ALIVE));
    }
    for (int i = 10; i < 14; i++) {
      receivePull(new NodeAddress("10.0.0." + i, 7_000), 0);
    }
    assertEquals(0, state.deferredJoins());
    receivePull(new NodeAddress("10.0.0.14", 7_000), 0);
    assertEquals(1, state.deferredJoins(), "the fifth transfer was not deferred");
  }

  private void receivePull(NodeAddress from, int bucket) {
    MembershipPacket packet =
        new MembershipPacket("h9", 1, from, new MembershipBody.Pull(bucket), List.of(), List.of());
    state.onMessage(5, from, packet);
  }
}
