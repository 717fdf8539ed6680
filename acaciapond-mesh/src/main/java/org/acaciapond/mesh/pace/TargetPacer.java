package org.acaciapond.mesh.pace;

import java.util.function.DoubleSupplier;
import org.acaciapond.mesh.admission.StartPace;

/**
 * Pace of the calls that the node beside a target sends to it. The number of concurrent calls is
 * the target's slots unless its answers show that it can run fewer:
 *
 * <ul>
 *   <li>after a cold start or a recovery, the limit rises by one with each answer;
 *   <li>while calls are refused or slow and fewer concurrent calls get as much work done, it falls;
 *   <li>a target that stopped to answer, or accepts no connections, gets one call at a time.
 * </ul>
 *
 * <p>The limit is never above the slots and never below 1. A cold target also gets no more calls in
 * a second than its service tolerates.
 */
public final class TargetPacer implements StartPace {

  private static final double SLOW_START_SHARE = 0.5;
  private static final int MIN_SLOW_START_LIMIT = 2;
  private static final int MIN_OVERDUE_IF_SILENT = 2;
  // A target that gets no idempotent calls is probed by others at this interval.
  private static final long PROBE_INTERVAL_NANOS = 1_000_000_000L;
  private static final int MIN_UNREACHABLE = 2;
  // A spell of slow answers that lasts longer becomes the usual service time.
  private static final long MAX_SLOW_SPELL_NANOS = 10_000_000_000L;
  // A target queues some calls beyond its slots. Abandoned calls may fill that queue, but not more.
  private static final int MAX_LOAD_FACTOR = 2;

  private final ColdPace coldPace;
  private final RouteBaselines baselines = new RouteBaselines();
  private final RunningCalls calls = new RunningCalls(baselines);
  private final OverloadLimit overload = new OverloadLimit();
  private LoadWindow window;
  private PaceState state = PaceState.OPEN;
  private int slots;
  private int slowStartLimit;
  private int unreachable;
  private long lastSignNanos;
  private long lastSentNanos;
  private boolean wasCold;
  private boolean slow;
  private long slowSinceNanos;

  /**
   * Creates the pace of a target of which nothing is known.
   *
   * @param bounds bound on the requests to a cold target
   * @param coldRequestsPerS rate that cold targets of the service tolerate, 0 if any, negative
   *     while it is not known
   */
  public TargetPacer(ColdBounds bounds, DoubleSupplier coldRequestsPerS, long nowNanos) {
    this.coldPace = new ColdPace(bounds, coldRequestsPerS, nowNanos);
    this.window = new LoadWindow(nowNanos);
    this.lastSignNanos = nowNanos;
    this.lastSentNanos = nowNanos;
  }

  /** Starts anew for a new lifetime of the target. */
  public void targetStarted(int slotCount, int coldMs, long nowNanos) {
    baselines.clear();
    calls.clearAbandoned();
    slots = slotCount;
    overload.reset(slots, slots, nowNanos);
    unreachable = 0;
    coldPace.setCold(coldMs, nowNanos);
    wasCold = coldMs > 0;
    if (coldMs > 0) {
      beginSlowStart(nowNanos);
    } else {
      enter(PaceState.OPEN, nowNanos);
    }
  }

  /** Applies a later check-in of the same lifetime. */
  public void targetUpdated(int slotCount, int coldMs, long nowNanos) {
    if (slotCount != slots) {
      slots = slotCount;
      overload.reset(slots, slots, nowNanos);
    }
    coldPace.setCold(coldMs, nowNanos);
    updateCold(nowNanos);
  }

  private void updateCold(long nowNanos) {
    boolean cold = coldPace.isCold(nowNanos);
    if (cold != wasCold) {
      wasCold = cold;
      baselines.relearn();
      window = new LoadWindow(nowNanos);
    }
  }

  @Override
  public boolean mayStart(long nowNanos) {
    return coldPace.mayStart(nowNanos);
  }

  @Override
  public void started(long nowNanos) {
    coldPace.started(nowNanos);
  }

  @Override
  public double delayUs(int callsAhead, long nowNanos) {
    return coldPace.delayUs(callsAhead, nowNanos);
  }

  /**
   * Counts a call that is about to be sent.
   *
   * @return false if it must not be sent, as a cold target would get too many in a second
   */
  public boolean trySend(long nowNanos) {
    return coldPace.trySend(nowNanos);
  }

  /** Records that a call was sent. */
  public PacedCall callSent(String route, long nowNanos) {
    if (calls.count() == 0) {
      lastSignNanos = nowNanos;
    }
    window.addRunning(calls.count(), nowNanos);
    PacedCall call = new PacedCall(route, nowNanos, calls.count() + 1);
    lastSentNanos = nowNanos;
    calls.add(call);
    return call;
  }

  /** Records the end of a call that was sent; further ends of the same call change nothing. */
  public void callEnded(PacedCall call, CallEnd end, long nowNanos) {
    int runningBefore = calls.count();
    if (!calls.remove(call)) {
      return;
    }
    window.addRunning(runningBefore, nowNanos);
    if (end == CallEnd.ABANDONED) {
      calls.addAbandoned(call, nowNanos);
    } else {
      unreachable = 0;
      lastSignNanos = nowNanos;
      recordEvidence(call, end, nowNanos);
    }
    endWindowIfOver(nowNanos);
  }

  private void recordEvidence(PacedCall call, CallEnd end, long nowNanos) {
    switch (end) {
      case ANSWERED -> recordAnswer(call, nowNanos);
      case REFUSED, BROKEN -> recordRefusal(call, end, nowNanos);
      default -> leaveSilence(nowNanos);
    }
  }

  private void recordAnswer(PacedCall call, long nowNanos) {
    updateCold(nowNanos);
    double serviceUs = (nowNanos - call.sentNanos()) / 1e3;
    double slowdown = baselines.add(call.route(), serviceUs, isLearning(nowNanos));
    window.addAnswer(call, serviceUs, wasCold ? 0 : slowdown);
    leaveSilence(nowNanos);
    if (state == PaceState.SLOW_START) {
      slowStartLimit++;
      if (slowStartLimit >= slots) {
        enter(PaceState.OPEN, nowNanos);
      }
    }
  }

  private void recordRefusal(PacedCall call, CallEnd end, long nowNanos) {
    window.addRefusal(call);
    if (end == CallEnd.REFUSED) {
      leaveSilence(nowNanos);
    }
    if (state == PaceState.SLOW_START) {
      overload.reset(slots, Math.max(1, slowStartLimit / 2), nowNanos);
      enter(PaceState.LIMITED, nowNanos);
    }
  }

  private boolean isLearning(long nowNanos) {
    return !slow || nowNanos - slowSinceNanos > MAX_SLOW_SPELL_NANOS;
  }

  private void leaveSilence(long nowNanos) {
    if (state == PaceState.SILENT || state == PaceState.UNREACHABLE) {
      beginSlowStart(nowNanos);
    }
  }

  private void beginSlowStart(long nowNanos) {
    overload.reset(slots, slots, nowNanos);
    slowStartLimit = Math.max(MIN_SLOW_START_LIMIT, (int) Math.ceil(slots * SLOW_START_SHARE));
    enter(slowStartLimit < slots ? PaceState.SLOW_START : PaceState.OPEN, nowNanos);
  }

  private void enter(PaceState next, long nowNanos) {
    state = next;
    window = new LoadWindow(nowNanos);
  }

  private void endWindowIfOver(long nowNanos) {
    boolean adjusted = state == PaceState.OPEN || state == PaceState.LIMITED;
    if (!adjusted || !window.isOver(overload.limit(), nowNanos)) {
      return;
    }
    updateSlowSpell(nowNanos);
    overload.apply(window, nowNanos);
    enter(overload.isLowered() ? PaceState.LIMITED : PaceState.OPEN, nowNanos);
  }

  private void updateSlowSpell(long nowNanos) {
    boolean slowNow = window.isSlow();
    if (slowNow && !slow) {
      slowSinceNanos = nowNanos;
    }
    slow = slowNow;
  }

  /** Records that no connection to the target could be opened for a call. */
  public void connectFailed(long nowNanos) {
    unreachable++;
    if (unreachable >= MIN_UNREACHABLE && state != PaceState.UNREACHABLE) {
      enter(PaceState.UNREACHABLE, nowNanos);
    }
  }

  /** Records that a nested call ended, which a call of a route made: the target is not silent. */
  public void nestedCallEnded(String route, long nowNanos) {
    baselines.markNested(route);
    lastSignNanos = nowNanos;
  }

  /**
   * Looks for calls that run far too long; to be called at regular intervals.
   *
   * @return number of calls that have become overdue
   */
  public int checkOverdue(long nowNanos) {
    if (calls.count() == 0) {
      return 0;
    }
    int marked = calls.markOverdue(nowNanos);
    boolean answering = state != PaceState.SILENT && state != PaceState.UNREACHABLE;
    if (answering && isSilent(nowNanos)) {
      enter(PaceState.SILENT, nowNanos);
    }
    return marked;
  }

  private boolean isSilent(long nowNanos) {
    int needed = Math.min(MIN_OVERDUE_IF_SILENT, slots);
    return calls.overdueCount() >= needed
        && nowNanos - lastSignNanos >= calls.shortestOverdueNanos();
  }

  /** Returns the number of calls that may run at once. */
  public int limit(long nowNanos) {
    int most = Math.min(stateLimit(), MAX_LOAD_FACTOR * slots - calls.abandonedCount(nowNanos));
    return Math.min(slots, Math.max(1, most));
  }

  private int stateLimit() {
    return switch (state) {
      case SILENT, UNREACHABLE -> calls.overdueCount() + 1;
      case SLOW_START -> slowStartLimit + calls.overdueCount();
      default -> overload.limit();
    };
  }

  /** Returns the number of concurrent calls that callers may count on. */
  public int capacity() {
    return switch (state) {
      case SILENT, UNREACHABLE -> Math.min(1, slots);
      case SLOW_START -> Math.min(slots, slowStartLimit);
      default -> Math.min(slots, overload.limit());
    };
  }

  /**
   * Returns whether a call may be sent to a target that does not answer, to learn whether it does
   * again. A call that may not be repeated is lost if the target is silent still; to an unreachable
   * target nothing is sent without a connection.
   *
   * @param running number of calls that have a slot of the target
   */
  public boolean mayProbe(boolean idempotent, int running, long nowNanos) {
    boolean harmless = idempotent || state == PaceState.UNREACHABLE;
    return running < limit(nowNanos)
        && (harmless || nowNanos - lastSentNanos >= PROBE_INTERVAL_NANOS);
  }

  /** Returns whether the target does not answer, so that calls should not wait for it. */
  public boolean isStuck() {
    return state == PaceState.SILENT || state == PaceState.UNREACHABLE;
  }

  /** Returns the remaining time during which the target is cold, 0 if it is not. */
  public int coldLeftMs(long nowNanos) {
    return coldPace.coldLeftMs(nowNanos);
  }

  /** Returns the state of the limit. */
  public PaceState state() {
    return state;
  }
}
