package org.acaciapond.mesh.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;

/**
 * Admission to one target: exactly as many calls run as it has slots, and a call waits only while
 * its estimated wait leaves it in time. Waiting calls are served by rank, then by the time at which
 * their answer loses worth.
 *
 * @param <T> type of calls
 */
public final class AdmissionQueue<T> {

  // A call that is given a slot with less than this part of its expected time left is not worth it.
  private static final double LEAST_TIME_SHARE = 0.5;
  private static final int MIN_RETRY_AFTER_MS = 20;

  private static final Comparator<Ticket<?>> ORDER =
      Comparator.<Ticket<?>>comparingInt(ticket -> ticket.type.rank())
          .thenComparingLong(ticket -> ticket.type.objectiveAtNanos())
          .thenComparingLong(ticket -> ticket.number);

  private final ServiceTimes times;
  private final TreeSet<Ticket<T>> waiting = new TreeSet<>(ORDER);
  private int slots;
  private int running;
  private long nextNumber;
  private int urgentWaiting;

  /** A waiting call. */
  private static final class Ticket<T> {
    final T call;
    final CallClass type;
    final long number;
    final double workUs;

    Ticket(T call, CallClass type, long number, double workUs) {
      this.call = call;
      this.type = type;
      this.number = number;
      this.workUs = workUs;
    }
  }

  /** Calls that a freed slot goes to, and calls that waited too long. */
  public record Released<T>(List<T> run, List<T> refused) {}

  /** Creates a queue that admits nothing until it is told of slots. */
  public AdmissionQueue(ServiceTimes times) {
    this.times = times;
  }

  /** Sets the number of calls that may run at once; 0 shuts the door. */
  public void slots(int count) {
    slots = count;
  }

  /** Returns the calls that run. */
  public int running() {
    return running;
  }

  /** Returns the calls that wait. */
  public int queued() {
    return waiting.size();
  }

  /** Returns the urgent calls that wait. */
  public int urgentQueued() {
    return urgentWaiting;
  }

  /** Decides on a call. */
  public AdmissionResult<T> offer(T call, CallClass type, long nowNanos) {
    double workUs = times.expectedUs(type.route());
    if (running < slots && waiting.isEmpty()) {
      running++;
      return new AdmissionResult<>(AdmissionResult.Decision.RUN, 0, List.of());
    }
    Ticket<T> ticket = new Ticket<>(call, type, nextNumber++, workUs);
    double waitUs = waitBehindUs(waiting.headSet(ticket));
    double limitUs = limitUs(type, workUs, nowNanos);
    if (slots == 0 || waitUs > limitUs) {
      int retryAfterMs = (int) Math.max(MIN_RETRY_AFTER_MS, (waitUs - limitUs) / 1000);
      return new AdmissionResult<>(AdmissionResult.Decision.REFUSE, retryAfterMs, List.of());
    }
    waiting.add(ticket);
    count(ticket, 1);
    return new AdmissionResult<>(AdmissionResult.Decision.WAIT, 0, evictHopeless(ticket, nowNanos));
  }

  private void count(Ticket<T> ticket, int change) {
    urgentWaiting += WaitLimit.urgent(ticket.type.rank()) ? change : 0;
  }

  // Work before a slot is free, as a sum over all slots: with all of them taken, the first one
  // becomes free after the time of a call divided by their number.
  private double firstSlotUs() {
    return running >= slots ? times.overallUs() : 0;
  }

  private double waitBehindUs(Iterable<Ticket<T>> calls) {
    double aheadUs = firstSlotUs();
    for (Ticket<T> ahead : calls) {
      aheadUs += ahead.workUs;
    }
    return aheadUs / Math.max(1, slots);
  }

  private static double limitUs(CallClass type, double workUs, long nowNanos) {
    return WaitLimit.us(
        type.rank(),
        (type.objectiveAtNanos() - nowNanos) / 1000.0,
        (type.deadlineNanos() - nowNanos) / 1000.0,
        workUs);
  }

  // Calls behind the new one that would now miss their deadline are refused while it is early.
  private List<T> evictHopeless(Ticket<T> added, long nowNanos) {
    List<T> evicted = new ArrayList<>();
    double aheadUs = firstSlotUs();
    Iterator<Ticket<T>> each = waiting.iterator();
    while (each.hasNext()) {
      Ticket<T> ticket = each.next();
      double endUs = aheadUs / Math.max(1, slots) + ticket.workUs;
      boolean hopeless = endUs > (ticket.type.deadlineNanos() - nowNanos) / 1000.0;
      if (hopeless && ORDER.compare(ticket, added) > 0) {
        each.remove();
        count(ticket, -1);
        evicted.add(ticket.call);
      } else {
        aheadUs += ticket.workUs;
      }
    }
    return evicted;
  }

  /** Frees the slot of a call that ended and returns what follows. */
  public Released<T> release(long nowNanos) {
    running--;
    return fill(nowNanos);
  }

  /** Gives free slots to waiting calls. */
  public Released<T> fill(long nowNanos) {
    List<T> run = new ArrayList<>();
    List<T> refused = new ArrayList<>();
    while (running < slots && !waiting.isEmpty()) {
      Ticket<T> first = waiting.first();
      waiting.remove(first);
      count(first, -1);
      double leftUs = (first.type.deadlineNanos() - nowNanos) / 1000.0;
      if (leftUs < first.workUs * LEAST_TIME_SHARE) {
        refused.add(first.call);
      } else {
        running++;
        run.add(first.call);
      }
    }
    return new Released<>(run, refused);
  }

  /** Removes a waiting call that its caller gave up; returns whether it was waiting. */
  public boolean cancel(T call) {
    return waiting.removeIf(
        ticket -> {
          boolean found = ticket.call == call;
          if (found) {
            count(ticket, -1);
          }
          return found;
        });
  }

  /** Empties the queue and returns the calls that waited. */
  public List<T> drainQueue() {
    List<T> calls = new ArrayList<>();
    waiting.forEach(ticket -> calls.add(ticket.call));
    waiting.clear();
    urgentWaiting = 0;
    return calls;
  }

  /** Returns after how many milliseconds a refused call would find room. */
  public int retryAfterMs() {
    return (int) Math.max(MIN_RETRY_AFTER_MS, waitBehindUs(waiting) / 1000);
  }
}
