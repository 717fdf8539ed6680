package org.acaciapond.sidecar.target;

import java.util.IdentityHashMap;
import java.util.Map;
import org.acaciapond.mesh.admission.ServiceTimes;
import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.target.TargetLoad;
import org.jspecify.annotations.Nullable;

/** What calls have shown of the target: its speed, its failures and what is under way. */
final class TargetHealth {

  private static final double FAILURE_SMOOTHING = 0.05;
  private static final int MIN_AGED_CALLS = 2;

  private final ServiceTimes times = new ServiceTimes();
  private final Map<MeshCall, Long> sentNanos = new IdentityHashMap<>();
  private double failureShare;

  ServiceTimes times() {
    return times;
  }

  /** Forgets what an earlier lifetime has shown. */
  void clear() {
    times.clear();
    failureShare = 0;
  }

  void sent(MeshCall call, long nowNanos) {
    sentNanos.put(call, nowNanos);
  }

  void ended(MeshCall call) {
    sentNanos.remove(call);
  }

  void answered(MeshCall call, int status, long runNanos) {
    failureShare += FAILURE_SMOOTHING * ((status >= 500 ? 1 : 0) - failureShare);
    if (status < 300) {
      times.add(call.route(), runNanos / 1e3);
    }
  }

  void failed() {
    failureShare += FAILURE_SMOOTHING * (1 - failureShare);
  }

  /** Returns the call of an id that runs in the target, or null. */
  @Nullable MeshCall running(String callId) {
    for (MeshCall each : sentNanos.keySet()) {
      if (each.id().equals(callId)) {
        return each;
      }
    }
    return null;
  }

  TargetLoad load(int running, int queued, int urgentQueued, long nowNanos) {
    return new TargetLoad(
        running,
        queued,
        urgentQueued,
        (int) Math.max(times.overallUs(), meanAgeUs(nowNanos)),
        (int) Math.round(failureShare * 1000));
  }

  // Calls that have been under way for longer than calls take show a slow target before any ends.
  private double meanAgeUs(long nowNanos) {
    if (sentNanos.size() < MIN_AGED_CALLS) {
      return 0;
    }
    double sum = 0;
    for (long at : sentNanos.values()) {
      sum += nowNanos - at;
    }
    return sum / sentNanos.size() / 1e3;
  }
}
