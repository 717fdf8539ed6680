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
 * Lock-free admission controller that limits the concurrent calls of one target and queues a few
 * more.
 *
 * <p>The limit starts at the configured slots of the target. It falls by a tenth when the target
 * shows overload, at most once per {@link #BACK_OFF_INTERVAL_NANOS}, and recovers additively: by
 * about one slot for as many successful calls as the limit has slots.
 */
public final class AdmissionController {

  /** Units per slot; fine enough that a step of one slot in 10,000 calls does not round to 0. */
  private static final long UNITS_PER_SLOT = 1_000_000;

  private static final long BACK_OFF_INTERVAL_NANOS = 100_000_000;
  private static final long SERVICE_TIME_SMOOTHING_SAMPLES = 16;

  /** Call that waits for a slot; it is either admitted or cancelled, never both. */
  public static final class QueuedCall {

    private final Runnable onAdmitted;
    private final AtomicBoolean decided = new AtomicBoolean();
    private final AdmissionController controller;

    private QueuedCall(Runnable onAdmitted, AdmissionController controller) {
      this.onAdmitted = onAdmitted;
      this.controller = controller;
    }

    /** Leaves the queue; returns false if the call has been admitted or cancelled already. */
    public boolean cancel() {
      if (!decided.compareAndSet(false, true)) {
        return false;
      }
      controller.queued.decrementAndGet();
      controller.queue.remove(this);
      return true;
    }
  }

  private final TimeSource time;
  private final ConcurrentLinkedQueue<QueuedCall> queue = new ConcurrentLinkedQueue<>();
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicInteger queued = new AtomicInteger();
  private final AtomicLong limitUnits;
  private final AtomicLong lastBackOffNanos;
  private final AtomicLong averageServiceNanos = new AtomicLong();
  private final LongAdder admitted = new LongAdder();
  private final LongAdder refusedFull = new LongAdder();
  private final LongAdder refusedDeadline = new LongAdder();
  private volatile LimitsConfig limits;

  /** Creates a controller with all slots free. */
  public AdmissionController(TimeSource time, LimitsConfig limits) {
    this.time = time;
    this.limits = limits;
    this.limitUnits = new AtomicLong(limits.slots() * UNITS_PER_SLOT);
    this.lastBackOffNanos = new AtomicLong(time.nanoTime() - BACK_OFF_INTERVAL_NANOS);
  }

  /** Replaces the limits when the configuration changes; admitted calls continue. */
  public void setLimits(LimitsConfig next) {
    LimitsConfig previous = limits;
    if (next.equals(previous)) {
      return;
    }
    limits = next;
    limitUnits.set(next.slots() * UNITS_PER_SLOT);
    admitQueued();
  }

  /** Takes a slot immediately; returns false if none is free or other calls are queued. */
  public boolean tryAdmit() {
    if (queued.get() > 0 || !tryTakeSlot()) {
      return false;
    }
    admitted.increment();
    return true;
  }

  /**
   * Returns the reason to refuse a call that found no free slot, or null if it may be queued. A
   * refusal is counted.
   */
  public @Nullable Refusal checkRefusal(long deadlineNanos) {
    int queueLength = queued.get();
    if (queueLength >= limits.queue()) {
      refusedFull.increment();
      return Refusal.QUEUE_FULL;
    }
    if (estimateCompletionNanos(queueLength) > deadlineNanos - time.nanoTime()) {
      refusedDeadline.increment();
      return Refusal.DEADLINE;
    }
    return null;
  }

  /** Returns the estimated time until a call behind the given queue would be answered. */
  private long estimateCompletionNanos(int queueLength) {
    long service = averageServiceNanos.get();
    return service + service * (queueLength + 1) / limit();
  }

  /**
   * Queues a call until a slot is free.
   *
   * @param onAdmitted runs once when the call has its slot, on the thread that freed the slot
   */
  public QueuedCall enqueue(Runnable onAdmitted) {
    QueuedCall queuedCall = new QueuedCall(onAdmitted, this);
    queued.incrementAndGet();
    queue.add(queuedCall);
    // A slot may have been freed since the caller found none.
    admitQueued();
    return queuedCall;
  }

  /**
   * Frees the slot of a call that ended.
   *
   * @param callNanos time from sending the call to the target to the end of its response
   * @param overloaded whether the target showed signs of overload
   */
  public void release(long callNanos, boolean overloaded) {
    // A concurrent update may lose a sample, which hardly changes a moving average.
    long average = averageServiceNanos.get();
    averageServiceNanos.set(
        average == 0
            ? callNanos
            : average + (callNanos - average) / SERVICE_TIME_SMOOTHING_SAMPLES);
    if (overloaded) {
      backOff();
    } else {
      recover();
    }
    inFlight.decrementAndGet();
    admitQueued();
  }

  /** Frees the slot of a call that was admitted but never sent to the target. */
  public void releaseUnused() {
    inFlight.decrementAndGet();
    admitQueued();
  }

  private void backOff() {
    long now = time.nanoTime();
    long last = lastBackOffNanos.get();
    if (now - last >= BACK_OFF_INTERVAL_NANOS && lastBackOffNanos.compareAndSet(last, now)) {
      limitUnits.updateAndGet(value -> Math.max(UNITS_PER_SLOT, value - value / 10));
    }
  }

  private void recover() {
    long value = limitUnits.get();
    long max = limits.slots() * UNITS_PER_SLOT;
    if (value < max) {
      limitUnits.compareAndSet(
          value, Math.min(max, value + UNITS_PER_SLOT * UNITS_PER_SLOT / value));
    }
  }

  private boolean tryTakeSlot() {
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

  private void admitQueued() {
    while (!queue.isEmpty() && tryTakeSlot()) {
      QueuedCall next = queue.poll();
      if (next != null && next.decided.compareAndSet(false, true)) {
        queued.decrementAndGet();
        admitted.increment();
        next.onAdmitted.run();
      } else {
        inFlight.decrementAndGet();
      }
    }
  }

  /** Returns the current limit of concurrent calls. */
  public int limit() {
    return (int) (limitUnits.get() / UNITS_PER_SLOT);
  }

  /** Returns the number of calls in flight. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Returns the number of queued calls. */
  public int queued() {
    return queued.get();
  }

  /** Returns the number of calls admitted so far. */
  public long admittedCount() {
    return admitted.sum();
  }

  /** Returns the number of calls refused because the queue was full. */
  public long refusedFullCount() {
    return refusedFull.sum();
  }

  /** Returns the number of calls refused because their deadline could not be met. */
  public long refusedDeadlineCount() {
    return refusedDeadline.sum();
  }
}
