package org.acaciapond.mesh.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Load: uploads of 60 KB that come faster than a link of 10 Mbit/s takes them. */
class BodyScheduleTest {

  private static final long MS = 1_000_000L;
  private static final int LINK_BYTES_PER_MS = 1_250;
  private static final int BODY_BYTES = 60_000;
  private static final int WINDOW_BYTES = 48 << 10;
  private static final double SERVICE_US = 100_000;
  private static final int RANK = CallRank.ofRequest(2);

  private final BodySchedule<Integer> schedule = new BodySchedule<>();
  private final Deque<BodySchedule.Request<Integer>> onLink = new ArrayDeque<>();
  private int accepted;
  private int refused;
  private int completed;
  private int onLinkBytes;

  private static CallClass callClass(long nowMs) {
    return new CallClass("upload", RANK, (nowMs + 1_200) * MS, (nowMs + 4_000) * MS);
  }

  private void offer(int number, long nowMs) {
    boolean refusal =
        schedule.offer(number, callClass(nowMs), BODY_BYTES, SERVICE_US, nowMs * MS).isPresent();
    refused += refusal ? 1 : 0;
    accepted += refusal ? 0 : 1;
  }

  private void request(long nowMs) {
    for (BodySchedule.Request<Integer> request : schedule.nextRequests(nowMs * MS)) {
      onLink.add(request);
      onLinkBytes += request.bytes();
    }
  }

  private void deliver(int bytes, long nowMs) {
    int left = bytes;
    while (left > 0 && !onLink.isEmpty()) {
      BodySchedule.Request<Integer> next = onLink.remove();
      int arrived = Math.min(left, next.bytes());
      left -= arrived;
      onLinkBytes -= arrived;
      completed += schedule.receive(next.offer(), arrived, nowMs * MS) ? 1 : 0;
      if (arrived < next.bytes()) {
        onLink.addFirst(new BodySchedule.Request<>(next.offer(), next.bytes() - arrived));
      }
    }
  }

  /** Guards against bodies that fill a link, and against offers that wait until they are late. */
  @Test
  void linkStaysShortAndBusyWhileTwiceItsRateIsOffered() {
    for (int nowMs = 0; nowMs < 10_000; nowMs++) {
      if (nowMs % 24 == 0) {
        offer(nowMs, nowMs);
      }
      request(nowMs);
      assertTrue(onLinkBytes <= WINDOW_BYTES);
      deliver(LINK_BYTES_PER_MS, nowMs);
    }
    int possible = 10_000 * LINK_BYTES_PER_MS / BODY_BYTES;
    assertTrue(completed > 0.95 * possible, completed + " of " + possible);
    assertTrue(refused > 0.8 * possible, "refused " + refused);
    assertTrue(schedule.size() < 12, "waiting " + schedule.size());
    assertEquals(accepted, completed + schedule.size());
  }

  /** Guards against a lost sender whose requested bytes hold up all other bodies. */
  @Test
  void bytesOfLostSendersAreNotWaitedForLong() {
    offer(1, 0);
    offer(2, 0);
    offer(3, 0);
    request(0);
    assertEquals(2, onLink.size());
    request(100);
    assertEquals(2, onLink.size());
    request(250);
    assertTrue(onLink.stream().anyMatch(request -> request.offer() == 3));
  }

  /** Guards against urgent calls that wait behind bodies which are less urgent. */
  @Test
  void bodyOfUrgentCallIsRequestedFirst() {
    offer(1, 0);
    CallClass urgent = new CallClass("pay", CallRank.ofRequest(0), 400 * MS, 800 * MS);
    assertFalse(schedule.offer(2, urgent, BODY_BYTES, SERVICE_US, 0).isPresent());
    assertEquals(
        List.of(2, 1), schedule.nextRequests(0).stream().map(BodySchedule.Request::offer).toList());
  }
}
