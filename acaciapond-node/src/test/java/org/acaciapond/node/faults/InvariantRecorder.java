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

/** Checker of I1 to I10 over what nodes, callers and targets report; safe for several threads. */
final class InvariantRecorder {

  /** I8 states a few seconds; nodes refuse after 3 s, doubled for a loaded machine. */
  static final long LEAVE_BOUND_MS = 6_000;

  /** Violation of an invariant. */
  record Violation(String invariant, String detail) {}

  private record Run(String host, String version, long atMs) {}

  private record Answer(int status, String outcome, String body) {}

  private static final class Call {
    private final String origin;
    private final boolean idempotent;
    private final long startedMs;
    private final String expectedBody;
    private final Queue<Run> runs = new ConcurrentLinkedQueue<>();
    private volatile Answer answer;

    Call(String origin, boolean idempotent, long startedMs, String expectedBody) {
      this.origin = origin;
      this.idempotent = idempotent;
      this.startedMs = startedMs;
      this.expectedBody = expectedBody;
    }
  }

  private final Map<String, Call> calls = new ConcurrentHashMap<>();
  private final Map<String, ConfigVersion> held = new ConcurrentHashMap<>();
  private final Map<Long, Long> markers = new ConcurrentHashMap<>();
  private final Map<Long, Long> accepted = new ConcurrentHashMap<>();
  private final Set<Long> refusedMarkers = ConcurrentHashMap.newKeySet();
  private final Map<String, Long> leavingSinceMs = new ConcurrentHashMap<>();
  private final Map<String, Long> factKnownMs = new ConcurrentHashMap<>();
  private final Queue<Violation> violations = new ConcurrentLinkedQueue<>();
  private final Set<Violation> returned = new HashSet<>();

  private void report(String invariant, String detail) {
    violations.add(new Violation(invariant, detail));
  }

  /** Checks I1, I2, I3 and I10; a host keeps its floor over restarts. */
  void snapshot(String host, Snapshot snapshot) {
    version(host, snapshot.version());
    ServiceConfig own = snapshot.service(snapshot.scope().ownService());
    services(host, own, snapshot.services().values(), snapshot.version().sequence());
  }

  void version(String host, ConfigVersion version) {
    ConfigVersion before = held.put(host, version);
    if (before != null && (before.isAfter(version) || version.contradicts(before))) {
      report("I1", host + " went from " + before + " to " + version);
    }
  }

  void services(String host, ServiceConfig own, Iterable<ServiceConfig> services, long sequence) {
    Set<String> names = new HashSet<>();
    Set<Long> found = new TreeSet<>();
    for (ServiceConfig service : services) {
      names.add(service.name());
      found.add(service.limits().maxBodyBytes());
      checkRoutes(host, service);
    }
    if (own != null && !names.containsAll(own.dependsOn())) {
      report("I2", host + " lacks a service of " + own.dependsOn());
    }
    if (found.size() > 1) {
      report("I3", host + " at " + sequence + " has parts of " + found);
    }
    for (long marker : found) {
      Long other = markers.putIfAbsent(sequence, marker);
      if (other != null && other != marker) {
        report("I10", host + " has edit " + marker + " at " + sequence + ", others " + other);
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

  void accepted(long sequence, long marker) {
    accepted.put(sequence, marker);
  }

  /** Notes an edit that its operator was told had not taken effect. */
  void refused(long marker) {
    refusedMarkers.add(marker);
  }

  /** Reports edits that are not in force after healing, as I10. */
  void notInForce(String host, long sequence, long wanted) {
    report("I10", host + " is at " + sequence + ", not at " + wanted);
  }

  void started(String id, String origin, boolean idempotent, String expectedBody) {
    calls.put(id, new Call(origin, idempotent, System.currentTimeMillis(), expectedBody));
  }

  /** Checks I4, I7 and I8 when a target receives a call. */
  void ran(String id, String host, String version, long atMs) {
    Call call = calls.get(id);
    if (call == null) {
      report("I5", host + " received unknown call " + id);
      return;
    }
    call.runs.add(new Run(host, version, atMs));
    if (!call.idempotent && call.runs.size() > 1) {
      report("I7", id + " ran at " + call.runs);
    }
    Long leaving = leavingSinceMs.get(host);
    if (leaving != null && atMs - leaving > LEAVE_BOUND_MS) {
      report("I8", host + " received " + id + " " + (atMs - leaving) + " ms after it left");
    }
    Long known = factKnownMs.get(call.origin + "/" + version);
    if (known != null && call.startedMs > known) {
      report("I4", call.origin + " sent " + id + " to " + version + " after it was taken back");
    }
  }

  /** Checks I5 when a caller has its answer; I6 is checked by {@link #verdict()}. */
  void answered(String id, int status, String outcome, String body) {
    Call call = calls.get(id);
    if (call == null || call.answer != null) {
      report("I5", "answer to unknown or answered call " + id);
      return;
    }
    call.answer = new Answer(status, outcome, body);
    if (status == 200 && !body.equals(call.expectedBody)) {
      report("I5", id + " received " + body.length() + " bytes that are not its answer");
    }
  }

  /** Notes that a planned stop cut a call, at the target or at the caller. */
  void cutByPlannedStop(String host, String id) {
    report("I9", "planned stop of " + host + " cut " + id);
  }

  void leaving(String host) {
    leavingSinceMs.put(host, System.currentTimeMillis());
  }

  void staying(String host) {
    leavingSinceMs.remove(host);
  }

  /** Notes that a host knows that a version was taken back; survives its restarts. */
  void factKnown(String host, String version) {
    factKnownMs.putIfAbsent(host + "/" + version, System.currentTimeMillis());
  }

  boolean knows(String host, String version) {
    return factKnownMs.containsKey(host + "/" + version);
  }

  long lastAccepted() {
    return accepted.keySet().stream().mapToLong(Long::longValue).max().orElse(0);
  }

  long answeredWith(int status) {
    return calls.values().stream()
        .filter(call -> call.answer != null && call.answer.status() == status)
        .count();
  }

  long runsOf(String version) {
    return calls.values().stream()
        .flatMap(call -> call.runs.stream())
        .filter(run -> run.version().equals(version))
        .count();
  }

  /** Returns the violations since the last verdict, with checks that need all of a call or edit. */
  List<Violation> verdict() {
    List<Violation> all = allViolations();
    all.removeIf(violation -> !returned.add(violation));
    return all;
  }

  private List<Violation> allViolations() {
    List<Violation> all = new ArrayList<>(violations);
    calls.forEach(
        (id, call) -> {
          Answer answer = call.answer;
          if (answer != null && "not-run".equals(answer.outcome()) && !call.runs.isEmpty()) {
            all.add(new Violation("I6", id + " was refused as not run but ran at " + call.runs));
          }
        });
    accepted.forEach(
        (sequence, marker) -> {
          Long seen = markers.get(sequence);
          if (seen != null && !seen.equals(marker)) {
            all.add(new Violation("I10", sequence + " is " + seen + ", accepted was " + marker));
          }
        });
    markers.forEach(
        (sequence, marker) -> {
          if (refusedMarkers.contains(marker)) {
            all.add(new Violation("I10", "refused edit " + marker + " is in force"));
          }
        });
    return all;
  }
}
