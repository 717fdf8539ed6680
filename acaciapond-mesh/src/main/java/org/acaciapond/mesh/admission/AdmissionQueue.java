package org.acaciapond.mesh.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;

/**
 * Admission queue of one target. At most as many calls run as the target has slots, and a call is
 * queued only if its estimated wait is within {@link WaitLimit}. Waiting calls are served by rank,
 * then by their latency objective, then in order of arrival.
 *
 * @param <T> type of calls
 */
public final class AdmissionQueue<T> {

  // A call with less than this share of its expected service time left is refused instead of run.
  private static final double MIN_REMAINING_TIME_SHARE = 0.5;
  private static final int MIN_RETRY_AFTER_MS = 20;

  private static final Comparator<QueuedCall<?>> ORDER =
      Comparator.<QueuedCall<?>>comparingInt(queued -> queued.callClass.rank())
          .thenComparingLong(queued -> queued.callClass.objectiveAtNanos())
          .thenComparingLong(queued -> queued.arrivalNumber);

  private final ServiceTimes times;
  private final TreeSet<QueuedCall<T>> waiting = new TreeSet<>(ORDER);
  private int slots;
  private int running;
  private long nextArrivalNumber;
  private int urgentWaiting;

  /** A waiting call. */
  private static final class QueuedCall<T> {
    final T call;
    final CallClass callClass;
    final long arrivalNumber;
    final double serviceTimeUs;

    QueuedCall(T call, CallClass callClass, long arrivalNumber, double serviceTimeUs) {
      this.call = call;
      this.callClass = callClass;
      this.arrivalNumber = arrivalNumber;
      this.serviceTimeUs = serviceTimeUs;
    }
  }

  /**
   * Calls that leave the queue.
   *
   * @param run calls that now have a slot
   * @param refused calls whose remaining time is too short to run them
   * @param <T> type of calls
   */
  public record Released<T>(List<T> run, List<T> refused) {}

  /** Creates a queue that refuses every call until {@link #setSlots} is called. */
  public AdmissionQueue(ServiceTimes times) {
    this.times = times;
  }

  /** Sets the number of calls that may run at once; with 0 every call is refused. */
  public void setSlots(int count) {
    slots = count;
  }

  /** Returns the number of running calls. */
  public int running() {
    return running;
  }

  /** Returns the number of waiting calls. */
  public int queued() {
    return waiting.size();
  }

  /** Returns the number of waiting urgent calls. */
  public int urgentQueued() {
    return urgentWaiting;
  }

  /** Runs, queues or refuses a call. */
  public AdmissionResult<T> offer(T call, CallClass callClass, long nowNanos) {
    double serviceTimeUs = times.expectedUs(callClass.route());
    if (running < slots && waiting.isEmpty()) {
      running++;
      return new AdmissionResult<>(AdmissionResult.Decision.RUN, 0, List.of());
    }
    QueuedCall<T> queued = new QueuedCall<>(call, callClass, nextArrivalNumber++, serviceTimeUs);
    double waitUs = estimatedWaitUs(waiting.headSet(queued));
    double limitUs = limitUs(callClass, serviceTimeUs, nowNanos);
    if (slots == 0 || waitUs > limitUs) {
      int retryAfterMs = (int) Math.max(MIN_RETRY_AFTER_MS, (waitUs - limitUs) / 1000);
      return new AdmissionResult<>(AdmissionResult.Decision.REFUSE, retryAfterMs, List.of());
    }
    waiting.add(queued);
    updateUrgentWaiting(queued, 1);
    return new AdmissionResult<>(
        AdmissionResult.Decision.WAIT, 0, evictLateCalls(queued, nowNanos));
  }

  private void updateUrgentWaiting(QueuedCall<T> queued, int change) {
    urgentWaiting += WaitLimit.isUrgent(queued.callClass.rank()) ? change : 0;
  }

  // Work until the first slot is free, summed over all slots: with all of them taken, the first one
  // becomes free after the mean service time divided by the number of slots.
  private double firstSlotWorkUs() {
    return running >= slots ? times.overallUs() : 0;
  }

  private double estimatedWaitUs(Iterable<QueuedCall<T>> calls) {
    double aheadUs = firstSlotWorkUs();
    for (QueuedCall<T> ahead : calls) {
      aheadUs += ahead.serviceTimeUs;
    }
    return aheadUs / Math.max(1, slots);
  }

  private static double limitUs(CallClass callClass, double serviceTimeUs, long nowNanos) {
    return WaitLimit.limitUs(
        callClass.rank(),
        (callClass.objectiveAtNanos() - nowNanos) / 1000.0,
        (callClass.deadlineNanos() - nowNanos) / 1000.0,
        serviceTimeUs);
  }

  // Evicts calls queued behind the new one that would now miss their deadline: an early refusal
  // leaves their callers time for another target.
  private List<T> evictLateCalls(QueuedCall<T> added, long nowNanos) {
    List<T> evicted = new ArrayList<>();
    double aheadUs = firstSlotWorkUs();
    Iterator<QueuedCall<T>> each = waiting.iterator();
    while (each.hasNext()) {
      QueuedCall<T> queued = each.next();
      double endUs = aheadUs / Math.max(1, slots) + queued.serviceTimeUs;
      boolean missesDeadline = endUs > (queued.callClass.deadlineNanos() - nowNanos) / 1000.0;
      if (missesDeadline && ORDER.compare(queued, added) > 0) {
        each.remove();
        updateUrgentWaiting(queued, -1);
        evicted.add(queued.call);
      } else {
        aheadUs += queued.serviceTimeUs;
      }
    }
    return evicted;
  }

  /** Frees the slot of a call that ended and gives free slots to waiting calls. */
  public Released<T> release(long nowNanos) {
    running--;
    return startWaiting(nowNanos);
  }

  /** Gives free slots to waiting calls. */
  public Released<T> startWaiting(long nowNanos) {
    List<T> run = new ArrayList<>();
    List<T> refused = new ArrayList<>();
    while (running < slots && !waiting.isEmpty()) {
      QueuedCall<T> first = waiting.first();
      waiting.remove(first);
      updateUrgentWaiting(first, -1);
      double leftUs = (first.callClass.deadlineNanos() - nowNanos) / 1000.0;
      if (leftUs < first.serviceTimeUs * MIN_REMAINING_TIME_SHARE) {
        refused.add(first.call);
      } else {
        running++;
        run.add(first.call);
      }
    }
    return new Released<>(run, refused);
  }

  /** Removes a call that its caller cancelled; returns whether it was waiting. */
  public boolean cancel(T call) {
    return waiting.removeIf(
        queued -> {
          boolean found = queued.call == call;
          if (found) {
            updateUrgentWaiting(queued, -1);
          }
          return found;
        });
  }

  /** Removes and returns all waiting calls. */
  public List<T> drainQueue() {
    List<T> calls = new ArrayList<>();
    waiting.forEach(queued -> calls.add(queued.call));
    waiting.clear();
    urgentWaiting = 0;
    return calls;
  }

  /** Returns the estimated time until a slot is free for a refused call, in milliseconds. */
  public int retryAfterMs() {
    return (int) Math.max(MIN_RETRY_AFTER_MS, estimatedWaitUs(waiting) / 1000);
  }
}
