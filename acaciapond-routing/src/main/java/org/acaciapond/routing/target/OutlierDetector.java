package org.acaciapond.routing.target;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.routing.call.AttemptResult;

/**
 * Outlier detector that ejects the failing and slow targets of one set; safe for concurrent use.
 *
 * <p>At most half of a set, rounded down, is ejected at any time, so a set never becomes empty.
 * When its ejection time has passed, an ejected target receives one trial call at a time. A
 * successful trial readmits the target; a failed one doubles its ejection time.
 */
public final class OutlierDetector {

  private static final int MAX_CONSECUTIVE_FAILURES = 5;
  private static final int MAX_CONNECT_FAILURES = 2;
  private static final int WINDOW_CALLS = 50;
  private static final int MAX_WINDOW_FAILURES = 20;
  private static final double SLOW_MEDIAN_FACTOR = 4;
  private static final long MIN_SLOW_LATENCY_NANOS = 20_000_000;
  private static final long BASE_EJECTION_NANOS = 2_000_000_000L;
  private static final int MAX_EJECTION_DOUBLINGS = 4;
  private static final long LATENCY_SMOOTHING_SAMPLES = 8;

  private static final class HostState {
    final AtomicBoolean trialInFlight = new AtomicBoolean();
    volatile boolean ejected;
    volatile long ejectedUntilNanos;
    volatile long latencyNanos;
    int consecutiveFailures;
    int connectFailures;
    int windowCalls;
    int windowFailures;
    int ejectionDoublings;
    int latencySamples;
  }

  private final TimeSource time;
  private final LongAdder ejections = new LongAdder();
  private volatile Map<String, HostState> hosts = Map.of();
  private volatile int ejectedCount;

  /** Creates a detector of an empty set. */
  public OutlierDetector(TimeSource time) {
    this.time = time;
  }

  /** Replaces the members of the set and keeps the statistics of those that remain. */
  public synchronized void setMembers(Collection<String> hostIds) {
    Map<String, HostState> next = new HashMap<>();
    for (String id : hostIds) {
      HostState known = hosts.get(id);
      next.put(id, known == null ? new HostState() : known);
    }
    hosts = next;
    readmitExcess();
  }

  /** Returns whether a target is ejected, even if a trial call is in flight. */
  public boolean isEjected(String hostId) {
    HostState host = hosts.get(hostId);
    return host != null && host.ejected;
  }

  /** Returns the number of ejected members. */
  public int ejectedCount() {
    return ejectedCount;
  }

  /** Returns whether a target may be called, without claiming the trial of an ejected one. */
  public boolean isAvailable(String hostId) {
    HostState host = hosts.get(hostId);
    return host == null
        || !host.ejected
        || (time.nanoTime() - host.ejectedUntilNanos >= 0 && !host.trialInFlight.get());
  }

  /** Claims a call to a target; an ejected target allows one trial call at a time. */
  public boolean tryClaim(String hostId) {
    HostState host = hosts.get(hostId);
    if (host == null || !host.ejected) {
      return true;
    }
    if (time.nanoTime() - host.ejectedUntilNanos < 0) {
      return false;
    }
    return host.trialInFlight.compareAndSet(false, true);
  }

  /** Records the result of an attempt and ejects or readmits its target. */
  public void onResult(String hostId, AttemptResult result, long latencyNanos) {
    HostState host = hosts.get(hostId);
    if (host == null) {
      return;
    }
    boolean connectFailed = result == AttemptResult.CONNECT_FAILED;
    boolean failed = connectFailed || result.outcome().isFailure();
    if (!failed && result != AttemptResult.ANSWERED) {
      // Refusals, cancellations and spent deadlines are no evidence about the health of the target.
      host.trialInFlight.set(false);
      return;
    }
    synchronized (host) {
      recordAttempt(host, failed, connectFailed, latencyNanos);
    }
    if (host.ejected) {
      finishTrial(host, failed);
    } else if (isOutlier(host, failed)) {
      eject(host);
    }
  }

  private static void recordAttempt(
      HostState host, boolean failed, boolean connectFailed, long latencyNanos) {
    host.consecutiveFailures = failed ? host.consecutiveFailures + 1 : 0;
    host.connectFailures = connectFailed ? host.connectFailures + 1 : 0;
    if (host.windowCalls >= WINDOW_CALLS) {
      // Half of the counts are kept so that a burst across a window boundary is still detected.
      host.windowCalls /= 2;
      host.windowFailures /= 2;
    }
    host.windowCalls++;
    host.windowFailures += failed ? 1 : 0;
    if (!connectFailed) {
      long known = host.latencyNanos;
      host.latencyNanos =
          host.latencySamples == 0
              ? latencyNanos
              : known + (latencyNanos - known) / LATENCY_SMOOTHING_SAMPLES;
      host.latencySamples++;
    }
  }

  private boolean isOutlier(HostState host, boolean failed) {
    if (failed) {
      return host.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES
          || host.connectFailures >= MAX_CONNECT_FAILURES
          || host.windowFailures >= MAX_WINDOW_FAILURES;
    }
    return host.latencyNanos > MIN_SLOW_LATENCY_NANOS
        && host.latencySamples >= WINDOW_CALLS
        && host.latencyNanos > SLOW_MEDIAN_FACTOR * medianLatencyNanos();
  }

  private double medianLatencyNanos() {
    long[] sorted =
        hosts.values().stream()
            .filter(h -> h.latencySamples > 0)
            .mapToLong(h -> h.latencyNanos)
            .toArray();
    Arrays.sort(sorted);
    return sorted.length == 0 ? 0 : sorted[(sorted.length - 1) / 2];
  }

  private synchronized void eject(HostState host) {
    if (host.ejected || !hosts.containsValue(host) || ejectedCount + 1 > hosts.size() / 2) {
      return;
    }
    host.ejectedUntilNanos = time.nanoTime() + (BASE_EJECTION_NANOS << host.ejectionDoublings);
    host.trialInFlight.set(false);
    host.ejected = true;
    ejections.increment();
    updateEjectedCount();
  }

  private void updateEjectedCount() {
    ejectedCount = (int) hosts.values().stream().filter(h -> h.ejected).count();
  }

  private synchronized void finishTrial(HostState host, boolean failed) {
    if (!host.ejected || !host.trialInFlight.get()) {
      // The call was sent before the ejection and does not show the current health of the target.
      return;
    }
    if (failed) {
      host.ejectionDoublings = Math.min(MAX_EJECTION_DOUBLINGS, host.ejectionDoublings + 1);
      host.ejectedUntilNanos = time.nanoTime() + (BASE_EJECTION_NANOS << host.ejectionDoublings);
    } else {
      readmit(host);
      host.ejectionDoublings = 0;
      updateEjectedCount();
    }
    host.trialInFlight.set(false);
  }

  private void readmitExcess() {
    long excess = hosts.values().stream().filter(h -> h.ejected).count() - hosts.size() / 2;
    for (HostState host : hosts.values()) {
      if (excess > 0 && host.ejected) {
        readmit(host);
        excess--;
      }
    }
    updateEjectedCount();
  }

  private static void readmit(HostState host) {
    synchronized (host) {
      host.consecutiveFailures = 0;
      host.connectFailures = 0;
      host.windowCalls = 0;
      host.windowFailures = 0;
      host.latencySamples = 0;
    }
    host.ejected = false;
  }

  /** Returns the host IDs of the ejected members. */
  public Set<String> ejectedHostIds() {
    return hosts.entrySet().stream()
        .filter(e -> e.getValue().ejected)
        .map(Map.Entry::getKey)
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Returns the total number of ejections. */
  public long ejectionCount() {
    return ejections.sum();
  }
}
