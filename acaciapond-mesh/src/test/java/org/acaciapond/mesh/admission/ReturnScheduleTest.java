package org.acaciapond.mesh.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;

class ReturnScheduleTest {

  private static final long MS = 1_000_000L;
  private static final String ROUTE = "r";
  private static final int RANK = CallRank.ofRequest(1);

  private final ReturnSchedule schedule = new ReturnSchedule();

  private static ReturnSchedule.Refused refused(long deadlineMs, long firstMs) {
    return new ReturnSchedule.Refused(ROUTE, deadlineMs * MS, firstMs * MS);
  }

  private void serve(int count, int everyMs) {
    for (int i = 0; i < count; i++) {
      schedule.recordServed((long) i * everyMs * MS);
    }
  }

  /** Guards against clients that are all told the same time. */
  @Test
  void laterRefusalsAreToldLaterTimes() {
    serve(300, 10);
    long nowNanos = 3_000 * MS;
    int previousMs = 0;
    for (int i = 0; i < 20; i++) {
      int toldMs = schedule.retryAfterMs(refused(5_500 + i, 3_000), 30, nowNanos);
      assertTrue(toldMs >= previousMs + (i == 0 ? 30 : 15), toldMs + " after " + previousMs);
      previousMs = toldMs;
    }
    assertTrue(previousMs < 600, "told " + previousMs);
  }

  /** Guards against room that is kept for clients which cannot wait for it. */
  @Test
  void clientThatCannotWaitIsNotExpected() {
    schedule.recordServed(0);
    int toldMs = schedule.retryAfterMs(refused(300, 0), 200, 0);
    assertEquals(200, toldMs);
    assertNull(schedule.takeFirstReceivedNanos(ROUTE, 300 * MS, 200 * MS));
    assertEquals(200, schedule.retryAfterMs(refused(3_000, 0), 200, 0));
    assertNotNull(schedule.takeFirstReceivedNanos(ROUTE, 3_000 * MS, 200 * MS));
  }

  /** Guards against new requests, and clients that repeat at once, that take the room of others. */
  @Test
  void onlyClientThatComesBackInTimeIsRecognized() {
    schedule.recordServed(0);
    assertEquals(100, schedule.retryAfterMs(refused(2_000, 0), 100, 0));
    assertNull(schedule.takeFirstReceivedNanos(ROUTE, 2_000 * MS, 20 * MS));
    assertNull(schedule.takeFirstReceivedNanos(ROUTE, 2_100 * MS, 100 * MS));
    assertNull(schedule.takeFirstReceivedNanos("other", 2_000 * MS, 100 * MS));
    assertEquals(0, schedule.takeFirstReceivedNanos(ROUTE, 2_004 * MS, 104 * MS));
    assertNull(schedule.takeFirstReceivedNanos(ROUTE, 2_004 * MS, 104 * MS));
  }

  /**
   * One try of a client.
   *
   * @param inTime whether the client comes back at the time that it was told
   */
  private record Arrival(long atMs, long firstMs, int tries, boolean inTime) {}

  /**
   * Load: one target with 4 slots and a service time of 40 ms, 130 new requests a second for 3 s,
   * then 60. Guards against clients that come back when they were told and are refused again.
   */
  @Test
  void clientsThatWereToldTimeAreServedWhenTheyComeBack() {
    ServiceTimes times = new ServiceTimes();
    times.add(ROUTE, 40_000);
    AdmissionQueue<Arrival> queue = new AdmissionQueue<>(times);
    queue.setSlots(4);
    PriorityQueue<Arrival> arrivals =
        new PriorityQueue<>((a, b) -> Long.compare(a.atMs(), b.atMs()));
    for (double at = 0; at < 6_000; at += at < 3_000 ? 1_000 / 130.0 : 1_000 / 60.0) {
      arrivals.add(new Arrival((long) at, (long) at, 1, false));
    }
    PriorityQueue<Long> ends = new PriorityQueue<>();
    int back = 0;
    int refusedAgain = 0;
    for (long nowMs = 0; nowMs < 9_000; nowMs++) {
      while (!ends.isEmpty() && ends.peek() <= nowMs) {
        ends.remove();
        schedule.recordServed(nowMs * MS);
        int started = queue.release(ROUTE, nowMs * MS).run().size();
        for (int i = 0; i < started; i++) {
          ends.add(nowMs + 40);
        }
      }
      while (!arrivals.isEmpty() && arrivals.peek().atMs() <= nowMs) {
        Arrival next = arrivals.remove();
        long deadlineMs = next.firstMs() + 2_500;
        Long first = schedule.takeFirstReceivedNanos(ROUTE, deadlineMs * MS, nowMs * MS);
        long objectiveNanos = (first == null ? nowMs * MS : first) + 400 * MS;
        CallClass callClass = new CallClass(ROUTE, RANK, objectiveNanos, deadlineMs * MS);
        AdmissionResult<Arrival> result = queue.offer(next, callClass, nowMs * MS);
        back += next.inTime() ? 1 : 0;
        if (result.decision() == AdmissionResult.Decision.RUN) {
          ends.add(nowMs + 40);
        } else if (result.decision() == AdmissionResult.Decision.REFUSE) {
          refusedAgain += next.inTime() ? 1 : 0;
          int toldMs =
              schedule.retryAfterMs(
                  refused(deadlineMs, next.firstMs()), result.retryAfterMs(), nowMs * MS);
          long waitMs = Math.min(toldMs, (deadlineMs - nowMs) / 3);
          if (next.tries() < 3) {
            arrivals.add(
                new Arrival(nowMs + waitMs, next.firstMs(), next.tries() + 1, waitMs == toldMs));
          }
        }
      }
    }
    assertTrue(back > 50, "came back " + back);
    assertTrue(refusedAgain < 0.1 * back, refusedAgain + " refused again of " + back);
  }
}
