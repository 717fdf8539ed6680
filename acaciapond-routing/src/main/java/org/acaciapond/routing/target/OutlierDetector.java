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
 * Detector of the targets of one set that fail or are slow; safe for several threads.
 *
 * <p>At most half of a set, rounded down, is ejected at a time, so it never empties a set. After
 * its time an ejected target receives one trial call at once; a good one admits it again, a bad one
 * doubles its time.
 */
public final class OutlierDetector {

  private static final int MAX_CONSECUTIVE_FAILURES = 5;
  private static final int MAX_CONNECT_FAILURES = 2;
  private static final int WINDOW_CALLS = 50;
  private static final int MAX_FAILED_OF_WINDOW = 20;
  private static final double SLOW_FACTOR = 4;
  private static final long SLOW_FLOOR_NANOS = 20_000_000;
  private static final long FIRST_EJECTION_NANOS = 2_000_000_000L;
  private static final int MAX_DOUBLINGS = 4;
  private static final long SMOOTHING = 8;

  private static final class Host {
    final AtomicBoolean trial = new AtomicBoolean();
    volatile boolean ejected;
    volatile long readmitNanos;
    volatile long latencyNanos;
    int consecutive;
    int connectFailures;
    int windowCalls;
    int windowFailed;
    int doublings;
    int samples;
  }

  private final TimeSource time;
  private final LongAdder ejections = new LongAdder();
  private volatile Map<String, Host> hosts = Map.of();
  private volatile int ejectedCount;

  /** Creates a detector of an empty set. */
  public OutlierDetector(TimeSource time) {
    this.time = time;
  }

  /** Replaces the members of the set; keeps what is known of those that stay. */
  public synchronized void setMembers(Collection<String> hostIds) {
    Map<String, Host> next = new HashMap<>();
    for (String id : hostIds) {
      Host known = hosts.get(id);
      next.put(id, known == null ? new Host() : known);
    }
    hosts = next;
    readmitBeyondHalf();
  }

  /** Returns whether a target is ejected, trial or not. */
  public boolean isEjected(String hostId) {
    Host host = hosts.get(hostId);
    return host != null && host.ejected;
  }

  /** Returns the number of ejected members. */
  public int ejectedCount() {
    return ejectedCount;
  }

  /** Returns whether a call may go to a target, without claiming the trial of an ejected one. */
  public boolean mayUse(String hostId) {
    Host host = hosts.get(hostId);
    return host == null
        || !host.ejected
        || (time.nanoTime() - host.readmitNanos >= 0 && !host.trial.get());
  }

  /** Claims the right to send a call; an ejected target grants one trial call at a time. */
  public boolean tryUse(String hostId) {
    Host host = hosts.get(hostId);
    if (host == null || !host.ejected) {
      return true;
    }
    if (time.nanoTime() - host.readmitNanos < 0) {
      return false;
    }
    return host.trial.compareAndSet(false, true);
  }

  /** Records the end of an attempt. */
  public void onResult(String hostId, AttemptResult result, long latencyNanos) {
    Host host = hosts.get(hostId);
    if (host == null) {
      return;
    }
    boolean connectFailed = result == AttemptResult.CONNECT_FAILED;
    boolean failed = connectFailed || result.outcome().isFailure();
    if (!failed && result != AttemptResult.ANSWERED) {
      // Refusals, cancellations and spent deadlines say nothing about the target.
      host.trial.set(false);
      return;
    }
    synchronized (host) {
      count(host, failed, connectFailed, latencyNanos);
    }
    if (host.ejected) {
      endTrial(host, failed);
    } else if (isOutlier(host, failed)) {
      eject(host);
    }
  }

  private static void count(Host host, boolean failed, boolean connectFailed, long latencyNanos) {
    host.consecutive = failed ? host.consecutive + 1 : 0;
    host.connectFailures = connectFailed ? host.connectFailures + 1 : 0;
    if (host.windowCalls >= WINDOW_CALLS) {
      // Half of the window is kept, so that a burst over its edge still counts.
      host.windowCalls /= 2;
      host.windowFailed /= 2;
    }
    host.windowCalls++;
    host.windowFailed += failed ? 1 : 0;
    if (!connectFailed) {
      long known = host.latencyNanos;
      host.latencyNanos =
          host.samples == 0 ? latencyNanos : known + (latencyNanos - known) / SMOOTHING;
      host.samples++;
    }
  }

  private boolean isOutlier(Host host, boolean failed) {
    if (failed) {
      return host.consecutive >= MAX_CONSECUTIVE_FAILURES
          || host.connectFailures >= MAX_CONNECT_FAILURES
          || host.windowFailed >= MAX_FAILED_OF_WINDOW;
    }
    return host.latencyNanos > SLOW_FLOOR_NANOS
        && host.samples >= WINDOW_CALLS
        && host.latencyNanos > SLOW_FACTOR * medianNanos();
  }

  private double medianNanos() {
    long[] sorted =
        hosts.values().stream().filter(h -> h.samples > 0).mapToLong(h -> h.latencyNanos).toArray();
    Arrays.sort(sorted);
    return sorted.length == 0 ? 0 : sorted[(sorted.length - 1) / 2];
  }

  private synchronized void eject(Host host) {
    if (host.ejected || !hosts.containsValue(host) || ejectedCount + 1 > hosts.size() / 2) {
      return;
    }
    host.readmitNanos = time.nanoTime() + (FIRST_EJECTION_NANOS << host.doublings);
    host.trial.set(false);
    host.ejected = true;
    ejections.increment();
    countEjected();
  }

  private void countEjected() {
    ejectedCount = (int) hosts.values().stream().filter(h -> h.ejected).count();
  }

  private synchronized void endTrial(Host host, boolean failed) {
    if (!host.ejected || !host.trial.get()) {
      // A call that was sent before the ejection proves nothing about the target now.
      return;
    }
    if (failed) {
      host.doublings = Math.min(MAX_DOUBLINGS, host.doublings + 1);
      host.readmitNanos = time.nanoTime() + (FIRST_EJECTION_NANOS << host.doublings);
    } else {
      readmit(host);
      host.doublings = 0;
      countEjected();
    }
    host.trial.set(false);
  }

  private void readmitBeyondHalf() {
    long excess = hosts.values().stream().filter(h -> h.ejected).count() - hosts.size() / 2;
    for (Host host : hosts.values()) {
      if (excess > 0 && host.ejected) {
        readmit(host);
        excess--;
      }
    }
    countEjected();
  }

  private static void readmit(Host host) {
    synchronized (host) {
      host.consecutive = 0;
      host.connectFailures = 0;
      host.windowCalls = 0;
      host.windowFailed = 0;
      host.samples = 0;
    }
    host.ejected = false;
  }

  /** Returns the ejected members. */
  public Set<String> ejected() {
    return hosts.entrySet().stream()
        .filter(e -> e.getValue().ejected)
        .map(Map.Entry::getKey)
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Returns how often a target was ejected. */
  public long ejectionCount() {
    return ejections.sum();
  }
}
