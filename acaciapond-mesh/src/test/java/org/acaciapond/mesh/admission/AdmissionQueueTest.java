package org.acaciapond.mesh.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class AdmissionQueueTest {

  private static final long MS = 1_000_000L;
  private static final int NEW = CallRank.ofRequest(1);
  private static final int NESTED = CallRank.ofNestedCall(NEW);

  private final ServiceTimes times = new ServiceTimes();
  private final AdmissionQueue<String> queue = new AdmissionQueue<>(times);

  private static CallClass callClass(int rank, long objectiveMs, long deadlineMs) {
    return new CallClass("r", rank, objectiveMs * MS, deadlineMs * MS);
  }

  @Test
  void queueWithoutSlotsRefusesEveryCall() {
    assertEquals(
        AdmissionResult.Decision.REFUSE, queue.offer("a", callClass(NEW, 500, 1000), 0).decision());
  }

  @Test
  void nestedCallGoesBeforeNewOnes() {
    times.add("r", 50_000);
    queue.setSlots(1);
    queue.offer("running", callClass(NEW, 500, 1000), 0);
    queue.offer("new", callClass(NEW, 500, 1000), 0);
    queue.offer("nested", callClass(NESTED, 500, 1000), 0);
    assertEquals(List.of("nested"), queue.release("r", 10 * MS).run());
    assertEquals(List.of("new"), queue.release("r", 20 * MS).run());
  }

  /** Guards against requests of a high priority that starve behind nested calls of a low one. */
  @Test
  void nestedCallOfLowPriorityRequestGoesAfterRequestsOfHigherPriority() {
    times.add("r", 50_000);
    queue.setSlots(1);
    queue.offer("running", callClass(NEW, 500, 1000), 0);
    int nestedRank = CallRank.ofNestedCall(CallRank.ofRequest(2));
    queue.offer("low", callClass(CallRank.ofRequest(2), 500, 1000), 0);
    queue.offer("nested", callClass(nestedRank, 500, 1000), 0);
    queue.offer("high", callClass(NEW, 500, 1000), 0);
    assertEquals(List.of("high"), queue.release("r", 10 * MS).run());
    assertEquals(List.of("nested"), queue.release("r", 20 * MS).run());
    assertEquals(List.of("low"), queue.release("r", 30 * MS).run());
  }

  /** Guards against a call that no free slot is given because its route is limited no longer. */
  @Test
  void limitedRouteLeavesSlotsToOtherRoutes() {
    queue.setSlots(4);
    for (int i = 0; i < 100; i++) {
      queue.recordNestedCall("r", true, 100 * i * MS);
    }
    long now = 10_000 * MS;
    CallClass limited = new CallClass("r", NEW, now + 500 * MS, now + 900 * MS);
    CallClass other = new CallClass("other", NEW, now + 500 * MS, now + 900 * MS);
    assertEquals(AdmissionResult.Decision.RUN, queue.offer("a", limited, now).decision());
    assertEquals(AdmissionResult.Decision.WAIT, queue.offer("b", limited, now).decision());
    assertEquals(AdmissionResult.Decision.RUN, queue.offer("c", other, now).decision());
    assertEquals(List.of(), queue.release("other", now + MS).run());
    assertEquals(List.of("b"), queue.release("r", now + MS).run());
  }

  @Test
  void callThatWouldMissItsObjectiveIsRefusedAtOnceWithRetryAfter() {
    times.add("r", 100_000);
    queue.setSlots(1);
    queue.offer("running", callClass(NEW, 200, 400), 0);
    queue.offer("waiting", callClass(NEW, 200, 400), 0);
    AdmissionResult<String> offer = queue.offer("late", callClass(NEW, 200, 400), 0);
    assertEquals(AdmissionResult.Decision.REFUSE, offer.decision());
    assertTrue(offer.retryAfterMs() >= 20);
  }

  @Test
  void nestedCallWaitsBeyondItsObjective() {
    times.add("r", 100_000);
    queue.setSlots(1);
    queue.offer("running", callClass(NEW, 200, 1000), 0);
    queue.offer("waiting", callClass(NESTED, 120, 1000), 0);
    assertEquals(
        AdmissionResult.Decision.WAIT,
        queue.offer("nested", callClass(NESTED, 120, 1000), 0).decision());
    assertEquals(
        AdmissionResult.Decision.REFUSE,
        queue.offer("new", callClass(NEW, 120, 400), 0).decision());
  }

  /** Guards against a wait estimate in which all running calls end before the first waiting one. */
  @Test
  void urgentCallWaitsForTheFirstOfManySlots() {
    times.add("long", 100_000);
    times.add("r", 30_000);
    queue.setSlots(8);
    for (int i = 0; i < 8; i++) {
      queue.offer(
          "running " + i, new CallClass("long", CallRank.ofRequest(2), 400 * MS, 800 * MS), 0);
    }
    assertEquals(
        AdmissionResult.Decision.WAIT,
        queue.offer("urgent", callClass(NEW, 60, 250), 0).decision());
  }

  @Test
  void cancelledCallLeavesTheQueue() {
    times.add("r", 10_000);
    queue.setSlots(1);
    queue.offer("running", callClass(NEW, 500, 1000), 0);
    queue.offer("waiting", callClass(NEW, 500, 1000), 0);
    assertTrue(queue.cancel("waiting"));
    assertFalse(queue.cancel("waiting"));
    assertTrue(queue.release("r", MS).run().isEmpty());
    assertEquals(0, queue.running());
  }

  /**
   * Guards against a slot that is leaked or given to two calls, in any order of arrivals and ends.
   */
  @Property(tries = 300, seed = "1")
  void slotsAreExactAndEveryCallEndsOnce(
      @ForAll @IntRange(min = 1, max = 4) int slots,
      @ForAll @Size(min = 1, max = 60) List<@IntRange(min = -1, max = 9) Integer> actions) {
    AdmissionQueue<String> testedQueue = new AdmissionQueue<>(new ServiceTimes());
    testedQueue.setSlots(slots);
    Deque<String> running = new ArrayDeque<>();
    List<String> ended = new ArrayList<>();
    long now = 0;
    int offeredCalls = 0;
    for (int action : actions) {
      now += 7 * MS;
      if (action < 4) {
        String call = "c" + offeredCalls++;
        AdmissionResult<String> offer =
            testedQueue.offer(
                call, new CallClass("r", action, now + 300 * MS, now + 600 * MS), now);
        ended.addAll(offer.evicted());
        if (offer.decision() == AdmissionResult.Decision.RUN) {
          running.add(call);
        } else if (offer.decision() == AdmissionResult.Decision.REFUSE) {
          ended.add(call);
        }
      } else if (!running.isEmpty()) {
        ended.add(running.remove());
        AdmissionQueue.Released<String> released = testedQueue.release("r", now);
        running.addAll(released.run());
        ended.addAll(released.refused());
      }
      assertTrue(running.size() <= slots);
      assertTrue(
          testedQueue.urgentQueued() >= 0 && testedQueue.urgentQueued() <= testedQueue.queued());
      assertEquals(running.size(), testedQueue.running());
      assertEquals(offeredCalls, ended.size() + running.size() + testedQueue.queued());
      assertEquals(ended.size(), ended.stream().distinct().count());
    }
  }
}
