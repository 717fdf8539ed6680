package org.acaciapond.mesh.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.acaciapond.mesh.store.StoreVersion;
import org.junit.jupiter.api.Test;

class StateRequestSchedulerTest {

  private static final long MS = 1_000_000L;

  private double draw;
  private final StateRequestScheduler scheduler = new StateRequestScheduler(() -> draw);

  private static StoreVersion version(long version) {
    return new StoreVersion(1, version);
  }

  /** Guards against a starting node that requests the whole state from every peer. */
  @Test
  void onlyOnePeerIsAskedAtTheSameTime() {
    scheduler.announce("a", version(5));
    assertEquals("a", scheduler.nextPeer(StoreVersion.NONE, 0));
    assertNull(scheduler.nextPeer(StoreVersion.NONE, 20 * MS));
    scheduler.announce("b", version(6));
    assertNull(scheduler.nextPeer(StoreVersion.NONE, 200 * MS));
  }

  /** Guards against a node that keeps old rows because the peer that it asked has gone. */
  @Test
  void anotherPeerIsAskedAfterTheTimeout() {
    scheduler.announce("a", version(5));
    scheduler.announce("b", version(5));
    assertEquals("a", scheduler.nextPeer(StoreVersion.NONE, 0));
    assertEquals("b", scheduler.nextPeer(StoreVersion.NONE, 301 * MS));
  }

  @Test
  void onlyPeerIsAskedAgainAfterTheTimeout() {
    scheduler.announce("a", version(5));
    assertEquals("a", scheduler.nextPeer(StoreVersion.NONE, 0));
    assertEquals("a", scheduler.nextPeer(StoreVersion.NONE, 301 * MS));
  }

  @Test
  void nextChangeIsRequestedImmediatelyAfterResponse() {
    scheduler.announce("a", version(5));
    assertEquals("a", scheduler.nextPeer(StoreVersion.NONE, 0));
    scheduler.responseReceived(version(5), 5 * MS);
    assertNull(scheduler.nextPeer(version(5), 10 * MS));
    scheduler.announce("a", version(6));
    assertEquals("a", scheduler.nextPeer(version(5), 20 * MS));
  }

  /** Guards against a node that stays behind if another peer is newer than the one it asked. */
  @Test
  void newerPeerIsAskedImmediatelyAfterAnOlderResponse() {
    scheduler.announce("a", version(5));
    assertEquals("a", scheduler.nextPeer(StoreVersion.NONE, 0));
    scheduler.announce("b", version(6));
    scheduler.responseReceived(version(5), 100 * MS);
    assertEquals("b", scheduler.nextPeer(version(5), 100 * MS));
  }

  /** Guards against an endless exchange with a peer that lacks what it announced. */
  @Test
  void peerThatLacksItsAnnouncedVersionIsAskedAgainAfterTheTimeout() {
    scheduler.announce("a", version(9));
    assertEquals("a", scheduler.nextPeer(StoreVersion.NONE, 0));
    scheduler.responseReceived(version(5), 100 * MS);
    assertNull(scheduler.nextPeer(version(5), 100 * MS));
    assertNull(scheduler.nextPeer(version(5), 399 * MS));
    assertEquals("a", scheduler.nextPeer(version(5), 400 * MS));
  }

  /** Guards against requests to all peers in turn for rows that none of them has any more. */
  @Test
  void peersWithTheSameVersionAreNotAskedInTurn() {
    scheduler.announce("a", version(9));
    scheduler.announce("b", version(9));
    assertEquals("a", scheduler.nextPeer(StoreVersion.NONE, 0));
    scheduler.responseReceived(version(5), 100 * MS);
    assertNull(scheduler.nextPeer(version(5), 100 * MS));
  }

  /** Guards against requests that multiply the load of links which already delay responses. */
  @Test
  void timeoutGrowsUntilAResponseArrives() {
    scheduler.announce("a", version(5));
    scheduler.announce("b", version(5));
    assertEquals("a", scheduler.nextPeer(StoreVersion.NONE, 0));
    assertEquals("b", scheduler.nextPeer(StoreVersion.NONE, 300 * MS));
    assertNull(scheduler.nextPeer(StoreVersion.NONE, 800 * MS));
    assertEquals("a", scheduler.nextPeer(StoreVersion.NONE, 900 * MS));
    scheduler.responseReceived(version(5), 950 * MS);
    scheduler.announce("b", version(6));
    assertEquals("b", scheduler.nextPeer(version(5), 960 * MS));
    scheduler.announce("a", version(6));
    assertEquals("a", scheduler.nextPeer(version(5), 1_260 * MS));
  }

  /** Guards against nodes that start together and all request the whole state from one reader. */
  @Test
  void nodeWithoutRowsAsksRandomPeerAndThenTheNewest() {
    scheduler.announce("a", version(9));
    scheduler.announce("b", version(8));
    scheduler.announce("c", version(8));
    draw = 0.9;
    assertEquals("c", scheduler.nextPeer(StoreVersion.NONE, 0));
    scheduler.responseReceived(version(8), 100 * MS);
    assertEquals("a", scheduler.nextPeer(version(8), 100 * MS));
  }

  /** Guards against a node that keeps the rows of an earlier era, in which versions were higher. */
  @Test
  void peerInALaterEraIsAsked() {
    scheduler.announce("a", version(60));
    scheduler.announce("b", new StoreVersion(2, 45));
    assertEquals("b", scheduler.nextPeer(version(60), 0));
    scheduler.responseReceived(new StoreVersion(2, 45), 5 * MS);
    assertNull(scheduler.nextPeer(new StoreVersion(2, 45), 10 * MS));
  }

  @Test
  void disconnectedPeerIsNotAsked() {
    scheduler.announce("a", version(5));
    scheduler.announce("b", version(5));
    assertEquals("a", scheduler.nextPeer(StoreVersion.NONE, 0));
    scheduler.disconnected("a");
    assertEquals("b", scheduler.nextPeer(StoreVersion.NONE, 10 * MS));
  }
}
