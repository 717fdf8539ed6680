package org.acaciapond.mesh.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class LatestStartTest {

  private static final long MS = 1_000_000L;

  /** Guards against a queued call whose refusal reaches the caller after the deadline. */
  @Test
  void latestStartLeavesTimeToReturnTheRefusal() {
    assertEquals(975 * MS, LatestStart.nanos(1_000 * MS, 10_000));
    assertEquals(950 * MS, LatestStart.nanos(1_000 * MS, 100_000));
  }

  /** Guards against a call that gets a slot when it can no longer end in time. */
  @Test
  void queuedCallIsRefusedAfterItsLatestStart() {
    ServiceTimes times = new ServiceTimes();
    times.add("r", 100_000);
    AdmissionQueue<String> queue = new AdmissionQueue<>(times);
    queue.setSlots(1);
    CallClass callClass = new CallClass("r", CallRank.ofRequest(1), 600 * MS, 1_000 * MS);
    queue.offer("running", callClass, 0);
    assertEquals(AdmissionResult.Decision.WAIT, queue.offer("waiting", callClass, 0).decision());
    assertEquals(950 * MS, queue.latestStartNanos(callClass));
    AdmissionQueue.Released<String> released = queue.release("r", 951 * MS);
    assertTrue(released.run().isEmpty());
    assertEquals(List.of("waiting"), released.refused());
  }
}
