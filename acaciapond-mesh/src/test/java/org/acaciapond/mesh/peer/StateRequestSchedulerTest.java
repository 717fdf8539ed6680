package org.acaciapond.mesh.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

class StateRequestSchedulerTest {

  private static final long MS = 1_000_000L;

  private double draw;
  private final StateRequestScheduler scheduler = new StateRequestScheduler(() -> draw);

  /** Guards against a starting node that requests the whole state from every peer. */
  @Test
  void onlyOnePeerIsAskedAtTheSameTime() {
    scheduler.announce("a", 5);
    assertEquals("a", scheduler.nextPeer(-1, 0));
    assertNull(scheduler.nextPeer(-1, 20 * MS));
    scheduler.announce("b", 6);
    assertNull(scheduler.nextPeer(-1, 200 * MS));
  }

  /** Guards against a node that keeps old rows because the peer that it asked has gone. */
  @Test
  void anotherPeerIsAskedAfterTheTimeout() {
    scheduler.announce("a", 5);
    scheduler.announce("b", 5);
    assertEquals("a", scheduler.nextPeer(-1, 0));
    assertEquals("b", scheduler.nextPeer(-1, 301 * MS));
  }

  @Test
  void onlyPeerIsAskedAgainAfterTheTimeout() {
    scheduler.announce("a", 5);
    assertEquals("a", scheduler.nextPeer(-1, 0));
    assertEquals("a", scheduler.nextPeer(-1, 301 * MS));
  }

  @Test
  void nextChangeIsRequestedImmediatelyAfterResponse() {
    scheduler.announce("a", 5);
    assertEquals("a", scheduler.nextPeer(-1, 0));
    scheduler.responseReceived(5, 5 * MS);
    assertNull(scheduler.nextPeer(5, 10 * MS));
    scheduler.announce("a", 6);
    assertEquals("a", scheduler.nextPeer(5, 20 * MS));
  }

  /** Guards against a node that stays behind if another peer is newer than the one it asked. */
  @Test
  void newerPeerIsAskedImmediatelyAfterAnOlderResponse() {
    scheduler.announce("a", 5);
    assertEquals("a", scheduler.nextPeer(-1, 0));
    scheduler.announce("b", 6);
    scheduler.responseReceived(5, 100 * MS);
    assertEquals("b", scheduler.nextPeer(5, 100 * MS));
  }

  /** Guards against an endless exchange with a peer that lacks what it announced. */
  @Test
  void peerThatLacksItsAnnouncedVersionIsAskedAgainAfterTheTimeout() {
    scheduler.announce("a", 9);
    assertEquals("a", scheduler.nextPeer(-1, 0));
    scheduler.responseReceived(5, 100 * MS);
    assertNull(scheduler.nextPeer(5, 100 * MS));
    assertNull(scheduler.nextPeer(5, 399 * MS));
    assertEquals("a", scheduler.nextPeer(5, 400 * MS));
  }

  /** Guards against requests to all peers in turn for rows that none of them has any more. */
  @Test
  void peersWithTheSameVersionAreNotAskedInTurn() {
    scheduler.announce("a", 9);
    scheduler.announce("b", 9);
    assertEquals("a", scheduler.nextPeer(-1, 0));
    scheduler.responseReceived(5, 100 * MS);
    assertNull(scheduler.nextPeer(5, 100 * MS));
  }

  /** Guards against requests that multiply the load of links which already delay responses. */
  @Test
  void timeoutGrowsUntilAResponseArrives() {
    scheduler.announce("a", 5);
    scheduler.announce("b", 5);
    assertEquals("a", scheduler.nextPeer(-1, 0));
    assertEquals("b", scheduler.nextPeer(-1, 300 * MS));
    assertNull(scheduler.nextPeer(-1, 800 * MS));
    assertEquals("a", scheduler.nextPeer(-1, 900 * MS));
    scheduler.responseReceived(5, 950 * MS);
    scheduler.announce("b", 6);
    assertEquals("b", scheduler.nextPeer(5, 960 * MS));
    scheduler.announce("a", 6);
    assertEquals("a", scheduler.nextPeer(5, 1_260 * MS));
  }

  /** Guards against nodes that start together and all request the whole state from one reader. */
  @Test
  void nodeWithoutRowsAsksRandomPeerAndThenTheNewest() {
    scheduler.announce("a", 9);
    scheduler.announce("b", 8);
    scheduler.announce("c", 8);
    draw = 0.9;
    assertEquals("c", scheduler.nextPeer(-1, 0));
    scheduler.responseReceived(8, 100 * MS);
    assertEquals("a", scheduler.nextPeer(8, 100 * MS));
  }

  @Test
  void disconnectedPeerIsNotAsked() {
    scheduler.announce("a", 5);
    scheduler.announce("b", 5);
    assertEquals("a", scheduler.nextPeer(-1, 0));
    scheduler.disconnected("a");
    assertEquals("b", scheduler.nextPeer(-1, 10 * MS));
  }
}
