package org.acaciapond.node.faults;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.acaciapond.config.model.RouteConfig;
import org.acaciapond.config.model.ServiceConfig;
import org.acaciapond.config.model.VersionConfig;
import org.acaciapond.config.snapshot.Snapshot;
import org.acaciapond.config.version.ConfigVersion;

/**
 * Checker of the invariants over the events of nodes, callers and targets; thread-safe.
 *
 * <ul>
 *   <li>I1: the configuration version of a host never decreases, also over a restart, and no two
 *       versions with different content have the same position.
 *   <li>I2: a configuration contains every service and version that it refers to.
 *   <li>I3: a host never has parts of different edits active at the same time.
 *   <li>I4: a node that knows that a version was taken back sends it no new calls.
 *   <li>I5: each caller receives one response, which is that of its own call, complete and
 *       unchanged.
 *   <li>I6: a call that was refused as not run never ran.
 *   <li>I7: a call that is not idempotent runs at most once.
 *   <li>I8: a leaving target receives no new calls after the drain delay.
 *   <li>I9: a planned stop interrupts no call.
 *   <li>I10: an accepted edit becomes active on all hosts as it was accepted, and a refused one on
 *       none.
 * </ul>
 */
final class InvariantRecorder {

  /** Bound of I8: nodes refuse calls after 3 s; doubled to allow for a loaded machine. */
  static final long LEAVE_BOUND_MS = 6_000;

  /** Violation of an invariant. */
  record Violation(String invariant, String detail) {}

  private record Execution(String host, String version, long receivedMs) {}

  private record Response(int status, String outcome, String body) {}

  private static final class Call {
    private final String origin;
    private final boolean idempotent;
    private final long startedMs;
    private final String expectedBody;
    private final Queue<Execution> executions = new ConcurrentLinkedQueue<>();
    private volatile Response response;

    Call(String origin, boolean idempotent, long startedMs, String expectedBody) {
      this.origin = origin;
      this.idempotent = idempotent;
      this.startedMs = startedMs;
      this.expectedBody = expectedBody;
    }
  }

  private final Map<String, Call> calls = new ConcurrentHashMap<>();
  private final Map<String, ConfigVersion> activeVersions = new ConcurrentHashMap<>();

  /** Edit that is active at each sequence; the body limit of its services identifies an edit. */
  private final Map<Long, Long> editIdBySequence = new ConcurrentHashMap<>();

  private final Map<Long, Long> acceptedEditIdBySequence = new ConcurrentHashMap<>();
  private final Set<Long> rejectedEditIds = ConcurrentHashMap.newKeySet();
  private final Map<String, Long> leavingSinceMs = new ConcurrentHashMap<>();
  private final Map<String, Long> takeBackKnownMs = new ConcurrentHashMap<>();
  private final Queue<Violation> violations = new ConcurrentLinkedQueue<>();
  private final Set<Violation> reportedViolations = new HashSet<>();

  private void report(String invariant, String detail) {
    violations.add(new Violation(invariant, detail));
  }

  /** Checks I1, I2, I3 and I10; the version of a host is compared across its restarts. */
  void recordSnapshot(String host, Snapshot snapshot) {
    recordVersion(host, snapshot.version());
    ServiceConfig own = snapshot.service(snapshot.scope().ownService());
    recordServices(host, own, snapshot.services().values(), snapshot.version().sequence());
  }

  void recordVersion(String host, ConfigVersion version) {
    ConfigVersion previous = activeVersions.put(host, version);
    if (previous != null && (previous.isAfter(version) || version.contradicts(previous))) {
      report("I1", host + " went from " + previous + " to " + version);
    }
  }

  void recordServices(
      String host, ServiceConfig own, Iterable<ServiceConfig> services, long sequence) {
    Set<String> names = new HashSet<>();
    Set<Long> editIds = new TreeSet<>();
    for (ServiceConfig service : services) {
      names.add(service.name());
      editIds.add(service.limits().maxBodyBytes());
      checkRoutes(host, service);
    }
    if (own != null && !names.containsAll(own.dependsOn())) {
      report("I2", host + " lacks a service of " + own.dependsOn());
    }
    if (editIds.size() > 1) {
      report("I3", host + " at " + sequence + " has parts of " + editIds);
    }
    for (long editId : editIds) {
      Long otherEditId = editIdBySequence.putIfAbsent(sequence, editId);
      if (otherEditId != null && otherEditId != editId) {
        report("I10", host + " has edit " + editId + " at " + sequence + ", others " + otherEditId);
      }
    }
  }

  private void checkRoutes(String host, ServiceConfig service) {
    List<String> versions = service.versions().stream().map(VersionConfig::name).toList();
    if (!versions.contains(service.currentVersion())) {
      report("I2", host + " lacks " + service.currentVersion());
    }
    for (RouteConfig route : service.routes()) {
      if (route.version() != null && !versions.contains(route.version())) {
        report("I2", host + " lacks " + route.version() + " of " + route.path());
      }
    }
  }

  void recordAcceptedEdit(long sequence, long editId) {
    acceptedEditIdBySequence.put(sequence, editId);
  }

  /** Records an edit that was reported to its operator as not applied. */
  void recordRejectedEdit(long editId) {
    rejectedEditIds.add(editId);
  }

  /** Reports an edit that is not active after the faults were healed, as I10. */
  void recordNotActive(String host, long sequence, long expectedSequence) {
    report("I10", host + " is at " + sequence + ", not at " + expectedSequence);
  }

  void recordCall(String id, String origin, boolean idempotent, String expectedBody) {
    calls.put(id, new Call(origin, idempotent, System.currentTimeMillis(), expectedBody));
  }

  /** Checks I4, I7 and I8 when a target receives a call. */
  void recordExecution(String id, String host, String version, long receivedMs) {
    Call call = calls.get(id);
    if (call == null) {
      report("I5", host + " received unknown call " + id);
      return;
    }
    call.executions.add(new Execution(host, version, receivedMs));
    if (!call.idempotent && call.executions.size() > 1) {
      report("I7", id + " ran at " + call.executions);
    }
    Long leavingStartMs = leavingSinceMs.get(host);
    if (leavingStartMs != null && receivedMs - leavingStartMs > LEAVE_BOUND_MS) {
      report(
          "I8",
          host + " received " + id + " " + (receivedMs - leavingStartMs) + " ms after it left");
    }
    Long knownMs = takeBackKnownMs.get(call.origin + "/" + version);
    if (knownMs != null && call.startedMs > knownMs) {
      report("I4", call.origin + " sent " + id + " to " + version + " after it was taken back");
    }
  }

  /** Checks I5 when a caller receives a response; {@link #newViolations()} checks I6. */
  void recordResponse(String id, int status, String outcome, String body) {
    Call call = calls.get(id);
    if (call == null || call.response != null) {
      report("I5", "response to an unknown call or second response to " + id);
      return;
    }
    call.response = new Response(status, outcome, body);
    if (status == 200 && !body.equals(call.expectedBody)) {
      report("I5", id + " received " + body.length() + " bytes that are not its response");
    }
  }

  /** Records that a planned stop cut a call, at the target or at the caller. */
  void recordCutByPlannedStop(String host, String id) {
    report("I9", "planned stop of " + host + " cut " + id);
  }

  void recordLeaving(String host) {
    leavingSinceMs.put(host, System.currentTimeMillis());
  }

  void recordStaying(String host) {
    leavingSinceMs.remove(host);
  }

  /** Records that a host knows that a version was taken back; kept across its restarts. */
  void recordTakeBackKnown(String host, String version) {
    takeBackKnownMs.putIfAbsent(host + "/" + version, System.currentTimeMillis());
  }

  boolean knowsTakeBack(String host, String version) {
    return takeBackKnownMs.containsKey(host + "/" + version);
  }

  long lastAcceptedSequence() {
    return acceptedEditIdBySequence.keySet().stream().mapToLong(Long::longValue).max().orElse(0);
  }

  long countResponses(int status) {
    return calls.values().stream()
        .filter(call -> call.response != null && call.response.status() == status)
        .count();
  }

  long countExecutions(String version) {
    return calls.values().stream()
        .flatMap(call -> call.executions.stream())
        .filter(execution -> execution.version().equals(version))
        .count();
  }

  /** Returns the violations since the last call, after the checks of complete calls and edits. */
  List<Violation> newViolations() {
    List<Violation> all = allViolations();
    all.removeIf(violation -> !reportedViolations.add(violation));
    return all;
  }

  private List<Violation> allViolations() {
    List<Violation> all = new ArrayList<>(violations);
    calls.forEach(
        (id, call) -> {
          Response response = call.response;
          if (response != null
              && "not-run".equals(response.outcome())
              && !call.executions.isEmpty()) {
            all.add(
                new Violation("I6", id + " was refused as not run but ran at " + call.executions));
          }
        });
    acceptedEditIdBySequence.forEach(
        (sequence, editId) -> {
          Long activeEditId = editIdBySequence.get(sequence);
          if (activeEditId != null && !activeEditId.equals(editId)) {
            all.add(
                new Violation(
                    "I10", sequence + " is " + activeEditId + ", accepted was " + editId));
          }
        });
    editIdBySequence.forEach(
        (sequence, editId) -> {
          if (rejectedEditIds.contains(editId)) {
            all.add(new Violation("I10", "refused edit " + editId + " is active"));
          }
        });
    return all;
  }
}
