package org.acaciapond.routing.admission;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.config.model.LimitsConfig;
import org.jspecify.annotations.Nullable;

/**
 * Controller of the calls that one target runs at a time, with a short queue; free of locks.
 *
 * <p>The limit starts at the slots of the target, falls by a tenth when the target shows overload
 * (at most once in {@link #BACK_OFF_NANOS}) and recovers by about one slot in as many good calls as
 * there are slots in use.
 */
public final class AdmissionController {

  /** Fine enough that a step of one slot in 10,000 calls does not round to nothing. */
  private static final long SCALE = 1_000_000;

  private static final long BACK_OFF_NANOS = 100_000_000;
  private static final long SMOOTHING = 16;

  /** Call that waits for a slot; it is run or cancelled, never both. */
  public static final class Waiting {

    private final Runnable onAdmitted;
    private final AtomicBoolean settled = new AtomicBoolean();
    private final AdmissionController owner;

    private Waiting(Runnable onAdmitted, AdmissionController owner) {
      this.onAdmitted = onAdmitted;
      this.owner = owner;
    }

    /** Gives up waiting; returns false when the call has been admitted already. */
    public boolean cancel() {
      if (!settled.compareAndSet(false, true)) {
        return false;
      }
      owner.queued.decrementAndGet();
      owner.queue.remove(this);
      return true;
    }
  }

  private final TimeSource time;
  private final ConcurrentLinkedQueue<Waiting> queue = new ConcurrentLinkedQueue<>();
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicInteger queued = new AtomicInteger();
  private final AtomicLong scaledLimit;
  private final AtomicLong backedOffNanos;
  private final AtomicLong serviceNanos = new AtomicLong();
  private final LongAdder admitted = new LongAdder();
  private final LongAdder refusedFull = new LongAdder();
  private final LongAdder refusedDeadline = new LongAdder();
  private volatile LimitsConfig limits;

  /** Creates a controller with all slots free. */
  public AdmissionController(TimeSource time, LimitsConfig limits) {
    this.time = time;
    this.limits = limits;
    this.scaledLimit = new AtomicLong(limits.slots() * SCALE);
    this.backedOffNanos = new AtomicLong(time.nanoTime() - BACK_OFF_NANOS);
  }

  /** Replaces the limits when the configuration changes; calls already admitted go on. */
  public void setLimits(LimitsConfig next) {
    LimitsConfig previous = limits;
    if (next.equals(previous)) {
      return;
    }
    limits = next;
    scaledLimit.set(next.slots() * SCALE);
    drain();
  }

  /** Takes a slot at once; returns false when none is free or others wait. */
  public boolean tryAdmit() {
    if (queued.get() > 0 || !takeSlot()) {
      return false;
    }
    admitted.increment();
    return true;
  }

  /** Returns why a call that found no free slot must be refused, or null when it may wait. */
  public @Nullable Refusal refusal(long deadlineNanos) {
    int waiting = queued.get();
    if (waiting >= limits.queue()) {
      refusedFull.increment();
      return Refusal.QUEUE_FULL;
    }
    if (expectedNanos(waiting) > deadlineNanos - time.nanoTime()) {
      refusedDeadline.increment();
      return Refusal.DEADLINE;
    }
    return null;
  }

  /** Returns the time until a call behind so many others would be answered. */
  private long expectedNanos(int waiting) {
    long service = serviceNanos.get();
    return service + service * (waiting + 1) / limit();
  }

  /**
   * Lets a call wait for a slot.
   *
   * @param onAdmitted runs once when the slot is taken, on the thread that freed it
   */
  public Waiting enqueue(Runnable onAdmitted) {
    Waiting waiting = new Waiting(onAdmitted, this);
    queued.incrementAndGet();
    queue.add(waiting);
    // A slot may have been freed since it was found taken.
    drain();
    return waiting;
  }

  /**
   * Frees the slot of a call that ended.
   *
   * @param tookNanos time from handing the call to the target to the end of its answer
   * @param overloaded whether the target showed that it has too much to do
   */
  public void release(long tookNanos, boolean overloaded) {
    // Concurrent updates may lose a sample, which an average can bear.
    long known = serviceNanos.get();
    serviceNanos.set(known == 0 ? tookNanos : known + (tookNanos - known) / SMOOTHING);
    if (overloaded) {
      backOff();
    } else {
      recover();
    }
    inFlight.decrementAndGet();
    drain();
  }

  /** Frees the slot of a call that was admitted but never handed to the target. */
  public void releaseUnused() {
    inFlight.decrementAndGet();
    drain();
  }

  private void backOff() {
    long now = time.nanoTime();
    long last = backedOffNanos.get();
    if (now - last >= BACK_OFF_NANOS && backedOffNanos.compareAndSet(last, now)) {
      scaledLimit.updateAndGet(value -> Math.max(SCALE, value - value / 10));
    }
  }

  private void recover() {
    long value = scaledLimit.get();
    long most = limits.slots() * SCALE;
    if (value < most) {
      scaledLimit.compareAndSet(value, Math.min(most, value + SCALE * SCALE / value));
    }
  }

  private boolean takeSlot() {
    while (true) {
      int current = inFlight.get();
      if (current >= limit()) {
        return false;
      }
      if (inFlight.compareAndSet(current, current + 1)) {
        return true;
      }
    }
  }

  private void drain() {
    while (!queue.isEmpty() && takeSlot()) {
      Waiting next = queue.poll();
      if (next != null && next.settled.compareAndSet(false, true)) {
        queued.decrementAndGet();
        admitted.increment();
        next.onAdmitted.run();
      } else {
        inFlight.decrementAndGet();
      }
    }
  }

  /** Returns the calls that may run at a time now. */
  public int limit() {
    return (int) (scaledLimit.get() / SCALE);
  }

  /** Returns the calls that run now. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Returns the calls that wait now. */
  public int queued() {
    return queued.get();
  }

  /** Returns the calls admitted so far. */
  public long admittedCount() {
    return admitted.sum();
  }

  /** Returns the calls refused because the queue was full. */
  public long refusedFullCount() {
    return refusedFull.sum();
  }

  /** Returns the calls refused because their deadline could not be met. */
  public long refusedDeadlineCount() {
    return refusedDeadline.sum();
  }
}
