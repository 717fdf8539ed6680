package org.acaciapond.sidecar.target;

import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Set;
import org.acaciapond.mesh.admission.ServiceTimes;
import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.target.TargetLoad;
import org.jspecify.annotations.Nullable;

/** Health of the target as measured by calls: service times, failures and running calls. */
final class TargetHealth {

  private static final double FAILURE_SMOOTHING_FACTOR = 0.05;
  private static final int MIN_RUNNING_CALLS_FOR_AGE = 2;

  private final ServiceTimes serviceTimes = new ServiceTimes();
  private final Map<MeshCall, Long> sentAtNanos = new IdentityHashMap<>();
  private final Set<MeshCall> withNestedFailure =
      Collections.newSetFromMap(new IdentityHashMap<>());
  private double failureShare;

  ServiceTimes serviceTimes() {
    return serviceTimes;
  }

  /** Removes the measurements of an earlier lifetime of the target. */
  void clear() {
    serviceTimes.clear();
    failureShare = 0;
  }

  void recordSent(MeshCall call, long nowNanos) {
    sentAtNanos.put(call, nowNanos);
  }

  void recordEnded(MeshCall call) {
    sentAtNanos.remove(call);
    withNestedFailure.remove(call);
  }

  /** Records that a nested call of a running call failed. */
  void recordNestedFailure(MeshCall call) {
    if (sentAtNanos.containsKey(call)) {
      withNestedFailure.add(call);
    }
  }

  /** Returns whether a nested call of a running call has failed. */
  boolean hasNestedFailure(MeshCall call) {
    return withNestedFailure.contains(call);
  }

  void recordResponse(MeshCall call, int status, long serviceNanos) {
    failureShare += FAILURE_SMOOTHING_FACTOR * ((status >= 500 ? 1 : 0) - failureShare);
    if (status < 300) {
      serviceTimes.add(call.route(), serviceNanos / 1e3);
    }
  }

  void recordFailure() {
    failureShare += FAILURE_SMOOTHING_FACTOR * (1 - failureShare);
  }

  /** Returns the call with this id that runs in the target, or null. */
  @Nullable MeshCall findRunning(String callId) {
    for (MeshCall call : sentAtNanos.keySet()) {
      if (call.id().equals(callId)) {
        return call;
      }
    }
    return null;
  }

  TargetLoad load(int running, int queued, int urgentQueued, long nowNanos) {
    return new TargetLoad(
        running,
        queued,
        urgentQueued,
        (int) Math.max(serviceTimes.overallUs(), meanRunningAgeUs(nowNanos)),
        (int) Math.round(failureShare * 1000));
  }

  // The mean age of running calls reveals a target that turned slow before any of them ends.
  private double meanRunningAgeUs(long nowNanos) {
    if (sentAtNanos.size() < MIN_RUNNING_CALLS_FOR_AGE) {
      return 0;
    }
    double sum = 0;
    for (long sentNanos : sentAtNanos.values()) {
      sum += nowNanos - sentNanos;
    }
    return sum / sentAtNanos.size() / 1e3;
  }
}
