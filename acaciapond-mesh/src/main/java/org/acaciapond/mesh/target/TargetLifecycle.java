package org.acaciapond.mesh.target;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Lifecycle of the local target, derived from its check-ins. A check-in of an older lifetime or
 * with a lower sequence changes nothing. A lifetime that announced its shutdown never becomes ready
 * again, even if this node started after the announcement and receives it from other nodes.
 */
public final class TargetLifecycle {

  private static final int MAX_FIRST_SEQUENCE = 2;
  private static final int MAX_DEREGISTERED_IDS = 1_000;

  private @Nullable CheckIn latest;
  private TargetPhase phase = TargetPhase.UNKNOWN;
  private long latestEndedStartMs = Long.MIN_VALUE;
  private final Map<String, Long> deregisteredAtMs = new HashMap<>();

  /** Applies a check-in; returns whether the status for other nodes changed. */
  public boolean accept(CheckIn checkIn) {
    CheckIn current = latest;
    if (current != null) {
      if (checkIn.startedMs() < current.startedMs()) {
        return false;
      }
      boolean sameLifetime =
          checkIn.startedMs() == current.startedMs() && checkIn.id().equals(current.id());
      if (sameLifetime && checkIn.sequence() <= current.sequence()) {
        return false;
      }
      if (!sameLifetime && checkIn.startedMs() == current.startedMs()) {
        return false;
      }
      if (sameLifetime) {
        return acceptNext(current, checkIn);
      }
    }
    if (checkIn.startedMs() <= latestEndedStartMs || isDeregistered(checkIn)) {
      return false;
    }
    latest = checkIn;
    phase = checkIn.draining() ? TargetPhase.DRAINING : TargetPhase.READY;
    return true;
  }

  private boolean acceptNext(CheckIn current, CheckIn next) {
    latest = next;
    TargetPhase previous = phase;
    if (next.draining() && phase == TargetPhase.READY) {
      phase = TargetPhase.DRAINING;
    }
    return phase != previous
        || !next.version().equals(current.version())
        || next.slots() != current.slots()
        || (current.coldMs() > 0 && next.coldMs() == 0)
        || next.coldMs() > current.coldMs();
  }

  // A deregistration without a start time does not say which lifetime of the id it ends. A start
  // after it is a new lifetime; so is one whose first sequence numbers are seen, in case the clocks
  // differ.
  private boolean isDeregistered(CheckIn checkIn) {
    Long atMs = deregisteredAtMs.get(checkIn.id());
    return atMs != null && checkIn.startedMs() <= atMs && checkIn.sequence() > MAX_FIRST_SEQUENCE;
  }

  /**
   * Applies a deregistration; returns whether it ended the current lifetime.
   *
   * @param id id of the lifetime that ends
   * @param startedMs start of that lifetime, or 0 if the message does not contain it
   * @param nowMs Unix time of the message
   */
  public boolean deregister(String id, long startedMs, long nowMs) {
    CheckIn current = latest;
    if (current == null
        || !current.id().equals(id)
        || (startedMs != 0 && startedMs != current.startedMs())) {
      // The lifetime is not the current one: a later check-in of it must not make it ready.
      latestEndedStartMs = Math.max(latestEndedStartMs, startedMs);
      if (startedMs == 0 && deregisteredAtMs.size() < MAX_DEREGISTERED_IDS) {
        deregisteredAtMs.put(id, nowMs);
      }
      return false;
    }
    boolean changed = phase != TargetPhase.GONE;
    phase = TargetPhase.GONE;
    latestEndedStartMs = Math.max(latestEndedStartMs, current.startedMs());
    return changed;
  }

  /**
   * Returns the start of a lifetime, or 0 if the message has none and the lifetime is not known.
   */
  public long startOf(String id, long startedMs) {
    CheckIn current = latest;
    if (startedMs == 0 && current != null && current.id().equals(id)) {
      return current.startedMs();
    }
    return startedMs;
  }

  /** Applies the last phase that another node knows; returns whether the phase changed. */
  public boolean restorePhase(String id, long startedMs, TargetPhase lastKnown) {
    if (lastKnown != TargetPhase.DRAINING && lastKnown != TargetPhase.GONE) {
      return false;
    }
    latestEndedStartMs = Math.max(latestEndedStartMs, startedMs);
    CheckIn current = latest;
    boolean ended = current != null && current.startedMs() <= startedMs;
    if (ended && phase == TargetPhase.READY) {
      phase = lastKnown;
      return true;
    }
    return false;
  }

  /** Applies a departure that was stored before this node started; returns as above. */
  public boolean restoreDeparture(TargetDeparture departure) {
    if (departure.startedMs() > 0) {
      return restorePhase(departure.id(), departure.startedMs(), TargetPhase.DRAINING);
    }
    deregisteredAtMs.put(departure.id(), departure.receivedMs());
    CheckIn current = latest;
    if (current != null && phase == TargetPhase.READY && isDeregistered(current)) {
      phase = TargetPhase.GONE;
      latestEndedStartMs = Math.max(latestEndedStartMs, current.startedMs());
      return true;
    }
    return false;
  }

  /** Returns the current phase. */
  public TargetPhase phase() {
    return phase;
  }

  /** Returns the latest check-in, or null before the first one. */
  public @Nullable CheckIn latest() {
    return latest;
  }
}
