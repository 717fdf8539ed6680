package org.acaciapond.mesh.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.SortedSet;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Admission queue of one target. At most as many calls run as the target has slots, and a call is
 * queued only if its estimated wait is within {@link WaitLimit}. Queued calls are served by rank,
 * then by their latency objective, then in order of arrival. Accounts that are ahead of their share
 * go behind others of their rank, see {@link AccountShares}; routes and accounts that hardly get a
 * slot go first, see {@link StarvationGuard}. Routes whose nested calls wait for another service
 * get fewer slots, see {@link NestedCallLimit}.
 *
 * @param <T> type of calls
 */
public final class AdmissionQueue<T> {

  private static final int MIN_RETRY_AFTER_MS = 20;
  private static final int MAX_LIMITED_ROUTES = 512;
  private static final int HIGHEST_RANK = CallRank.ofRequest(0);

  private static final Comparator<QueuedCall<?>> ORDER =
      Comparator.<QueuedCall<?>>comparingInt(queued -> queued.callClass.rank())
          .thenComparingLong(queued -> queued.orderNanos)
          .thenComparingLong(queued -> queued.arrivalNumber);

  private final ServiceTimes serviceTimes;
  private final StartPace startPace;
  private final TreeSet<QueuedCall<T>> queue = new TreeSet<>(ORDER);
  private final Map<String, Integer> runningByRoute = new HashMap<>();
  private final Map<String, NestedCallLimit> nestedCallLimits = new HashMap<>();
  private final AccountShares shares = new AccountShares();
  private final StarvationGuard starvedRoutes = new StarvationGuard();
  private final StarvationGuard starvedAccounts = new StarvationGuard();
  private int slots;
  private int running;
  private long nextArrivalNumber;
  private int urgentQueued;

  /** A queued call. */
  private static final class QueuedCall<T> {
    final @Nullable T call;
    final CallClass callClass;
    final long arrivalNumber;
    final double serviceUs;
    // Latency objective, later if the account of the call is ahead of its share.
    final long orderNanos;

    QueuedCall(
        @Nullable T call,
        CallClass callClass,
        long arrivalNumber,
        double serviceUs,
        double delayUs) {
      this.call = call;
      this.callClass = callClass;
      this.arrivalNumber = arrivalNumber;
      this.serviceUs = serviceUs;
      this.orderNanos = callClass.objectiveAtNanos() + (long) (delayUs * 1_000);
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
  public AdmissionQueue(ServiceTimes serviceTimes) {
    this(serviceTimes, StartPace.UNLIMITED);
  }

  /** Creates a queue whose calls start at the given pace; it refuses calls as above. */
  public AdmissionQueue(ServiceTimes serviceTimes, StartPace startPace) {
    this.serviceTimes = serviceTimes;
    this.startPace = startPace;
  }

  /** Sets the number of calls that may run at once; with 0 every call is refused. */
  public void setSlots(int count) {
    slots = count;
  }

  /** Returns the number of running calls. */
  public int running() {
    return running;
  }

  /** Returns the number of queued calls. */
  public int queued() {
    return queue.size();
  }

  /** Returns the number of queued urgent calls. */
  public int urgentQueued() {
    return urgentQueued;
  }

  /**
   * Returns the time after which a slot is expected to be free, in milliseconds, if the call would
   * be refused now.
   */
  public OptionalInt refusal(CallClass callClass, long nowNanos) {
    boolean routeLimited = isRouteLimited(callClass.route(), nowNanos);
    if (running < slots && !routeLimited && startPace.mayStart(nowNanos)) {
      return OptionalInt.empty();
    }
    double serviceUs = serviceTimes.expectedUs(callClass.route());
    return refusalOf(
        new QueuedCall<>(null, callClass, nextArrivalNumber, serviceUs, 0), routeLimited, nowNanos);
  }

  /** Runs, queues or refuses a call. */
  public AdmissionResult<T> offer(T call, CallClass offered, long nowNanos) {
    CallClass callClass = withoutStarvation(offered);
    starvedRoutes.recordOffered(callClass.route(), nowNanos);
    starvedAccounts.recordOffered(callClass.account(), nowNanos);
    double serviceUs = serviceTimes.expectedUs(callClass.route());
    double delayUs = shares.offer(callClass.account(), serviceUs, slots, nowNanos);
    boolean routeLimited = isRouteLimited(callClass.route(), nowNanos);
    if (running < slots && !routeLimited && startPace.mayStart(nowNanos)) {
      shares.recordAdmitted(callClass.account(), serviceUs);
      start(callClass, nowNanos);
      return new AdmissionResult<>(AdmissionResult.Decision.RUN, 0, List.of());
    }
    QueuedCall<T> queued =
        new QueuedCall<>(call, callClass, nextArrivalNumber++, serviceUs, delayUs);
    OptionalInt refusal = refusalOf(queued, routeLimited, nowNanos);
    if (refusal.isPresent()) {
      return new AdmissionResult<>(AdmissionResult.Decision.REFUSE, refusal.getAsInt(), List.of());
    }
    queue.add(queued);
    shares.recordAdmitted(callClass.account(), serviceUs);
    updateUrgentQueued(queued, 1);
    return new AdmissionResult<>(
        AdmissionResult.Decision.WAIT, 0, evictLateCalls(queued, nowNanos));
  }

  // Calls of a route or account that is served much less often than all are the next to run.
  private CallClass withoutStarvation(CallClass callClass) {
    boolean starved =
        starvedRoutes.isStarved(callClass.route())
            || (!callClass.account().isEmpty() && starvedAccounts.isStarved(callClass.account()));
    return starved ? callClass.withRank(Math.min(callClass.rank(), HIGHEST_RANK)) : callClass;
  }

  private OptionalInt refusalOf(QueuedCall<T> call, boolean routeLimited, long nowNanos) {
    SortedSet<QueuedCall<T>> ahead = queue.headSet(call);
    double waitUs = Math.max(estimatedWaitUs(ahead), startPace.delayUs(ahead.size(), nowNanos));
    if (routeLimited) {
      waitUs = Math.max(waitUs, routeWaitUs(call, nowNanos));
    }
    double limitUs = limitUs(call.callClass, call.serviceUs, nowNanos);
    if (slots > 0 && waitUs <= limitUs) {
      return OptionalInt.empty();
    }
    return OptionalInt.of((int) Math.max(MIN_RETRY_AFTER_MS, (waitUs - limitUs) / 1000));
  }

  /**
   * Records the end of a nested call that a running call has made.
   *
   * @param route route of the running call
   * @param congested whether the nested call was refused as its service is full, or its target has
   *     a long queue
   */
  public void recordNestedCall(String route, boolean congested, long nowNanos) {
    NestedCallLimit limit = nestedCallLimits.get(route);
    if (limit == null) {
      if (nestedCallLimits.size() >= MAX_LIMITED_ROUTES) {
        return;
      }
      limit = new NestedCallLimit();
      nestedCallLimits.put(route, limit);
    }
    limit.record(congested, slots, nowNanos);
  }

  private int routeLimit(String route, long nowNanos) {
    NestedCallLimit limit = nestedCallLimits.get(route);
    return limit == null ? Integer.MAX_VALUE : limit.limit(nowNanos);
  }

  private boolean isRouteLimited(String route, long nowNanos) {
    return runningByRoute.getOrDefault(route, 0) >= routeLimit(route, nowNanos);
  }

  // Estimated time until one of the slots that the route may use is free for the call.
  private double routeWaitUs(QueuedCall<T> call, long nowNanos) {
    String route = call.callClass.route();
    int ahead = 1;
    for (QueuedCall<T> queued : queue.headSet(call)) {
      ahead += queued.callClass.route().equals(route) ? 1 : 0;
    }
    return ahead * call.serviceUs / Math.max(1, routeLimit(route, nowNanos));
  }

  private void start(CallClass callClass, long nowNanos) {
    startPace.started(nowNanos);
    running++;
    runningByRoute.merge(callClass.route(), 1, Integer::sum);
    starvedRoutes.recordStarted(callClass.route());
    starvedAccounts.recordStarted(callClass.account());
  }

  private void updateUrgentQueued(QueuedCall<T> queued, int change) {
    urgentQueued += CallRank.isUrgent(queued.callClass.rank()) ? change : 0;
  }

  private void recordDropped(QueuedCall<T> queued) {
    updateUrgentQueued(queued, -1);
    shares.recordDropped(queued.callClass.account(), queued.serviceUs);
  }

  // Work until the first slot is free, summed over all slots: with all of them taken, the first one
  // becomes free after the mean service time divided by the number of slots.
  private double firstSlotWorkUs() {
    return running >= slots ? serviceTimes.overallUs() : 0;
  }

  private double estimatedWaitUs(Iterable<QueuedCall<T>> calls) {
    double aheadUs = firstSlotWorkUs();
    for (QueuedCall<T> ahead : calls) {
      aheadUs += ahead.serviceUs;
    }
    return aheadUs / Math.max(1, slots);
  }

  private static double limitUs(CallClass callClass, double serviceUs, long nowNanos) {
    double limitUs =
        WaitLimit.limitUs(
            callClass.rank(),
            (callClass.objectiveAtNanos() - nowNanos) / 1000.0,
            (callClass.deadlineNanos() - nowNanos) / 1000.0,
            serviceUs);
    double untilLatestStartUs =
        (LatestStart.nanos(callClass.deadlineNanos(), serviceUs) - nowNanos) / 1000.0;
    return Math.max(0, Math.min(limitUs, untilLatestStartUs));
  }

  /**
   * Returns the monotonic time after which a queued call is refused because it cannot end in time.
   */
  public long latestStartNanos(CallClass callClass) {
    return LatestStart.nanos(callClass.deadlineNanos(), serviceTimes.expectedUs(callClass.route()));
  }

  // Evicts calls queued behind the new one that would now miss their deadline: an early refusal
  // leaves their callers time for another target.
  private List<T> evictLateCalls(QueuedCall<T> added, long nowNanos) {
    List<T> evicted = new ArrayList<>();
    double aheadUs = firstSlotWorkUs();
    Iterator<QueuedCall<T>> each = queue.iterator();
    while (each.hasNext()) {
      QueuedCall<T> queued = each.next();
      double endUs = aheadUs / Math.max(1, slots) + queued.serviceUs;
      boolean missesDeadline = endUs > (queued.callClass.deadlineNanos() - nowNanos) / 1000.0;
      if (missesDeadline && ORDER.compare(queued, added) > 0) {
        each.remove();
        recordDropped(queued);
        evicted.add(queued.call);
      } else {
        aheadUs += queued.serviceUs;
      }
    }
    return evicted;
  }

  /**
   * Frees the slot of a call that ended and gives free slots to queued calls.
   *
   * @param route route of the call that ended
   */
  public Released<T> release(String route, long nowNanos) {
    running--;
    runningByRoute.computeIfPresent(route, (key, count) -> count > 1 ? count - 1 : null);
    return startQueued(nowNanos);
  }

  /** Gives free slots to queued calls. */
  public Released<T> startQueued(long nowNanos) {
    List<T> run = new ArrayList<>();
    List<T> refused = new ArrayList<>();
    Iterator<QueuedCall<T>> each = queue.iterator();
    while (running < slots && startPace.mayStart(nowNanos) && each.hasNext()) {
      QueuedCall<T> next = each.next();
      boolean late =
          nowNanos - LatestStart.nanos(next.callClass.deadlineNanos(), next.serviceUs) > 0;
      if (!late && isRouteLimited(next.callClass.route(), nowNanos)) {
        continue;
      }
      each.remove();
      updateUrgentQueued(next, -1);
      if (late) {
        shares.recordDropped(next.callClass.account(), next.serviceUs);
        refused.add(next.call);
      } else {
        start(next.callClass, nowNanos);
        run.add(next.call);
      }
    }
    return new Released<>(run, refused);
  }

  /** Removes a call that its caller cancelled; returns whether it was queued. */
  public boolean cancel(T call) {
    return queue.removeIf(
        queued -> {
          boolean found = queued.call == call;
          if (found) {
            recordDropped(queued);
          }
          return found;
        });
  }

  /** Removes and returns all queued calls. */
  public List<T> drainQueue() {
    List<T> calls = new ArrayList<>();
    queue.forEach(queued -> calls.add(queued.call));
    queue.clear();
    urgentQueued = 0;
    return calls;
  }

  /** Returns the estimated time until a slot is free for a refused call, in milliseconds. */
  public int retryAfterMs() {
    return (int) Math.max(MIN_RETRY_AFTER_MS, estimatedWaitUs(queue) / 1000);
  }
}
