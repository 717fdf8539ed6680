package org.acaciapond.mesh.target;

/**
 * Announced departure of one lifetime of a target, by a check-in that reports draining or by a
 * deregistration.
 *
 * @param id id of the lifetime
 * @param startedMs Unix time of its start, or 0 if the announcement does not contain it
 * @param receivedMs Unix time at which its node received the announcement
 */
public record TargetDeparture(String id, long startedMs, long receivedMs) {

  /** Returns whether this departure excludes every lifetime that the other one excludes. */
  public boolean covers(TargetDeparture other) {
    if (startedMs > 0 && other.startedMs > 0) {
      return startedMs >= other.startedMs;
    }
    return startedMs == other.startedMs && id.equals(other.id) && receivedMs >= other.receivedMs;
  }
}
