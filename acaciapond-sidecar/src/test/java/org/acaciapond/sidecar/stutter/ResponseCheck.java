package org.acaciapond.sidecar.stutter;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.jspecify.annotations.Nullable;

/** Check of the responses that clients and targets received against the runs of the targets. */
final class ResponseCheck {

  private static final int MAX_PRINTED = 6;
  private static final Set<Integer> NOT_RUN_STATUSES = Set.of(503, 429, 408, 421);

  /** Kind of a wrong response. */
  enum Violation {
    /** A success whose signature is that of a run that the target ended with a failure. */
    SUCCESS_FOR_FAILURE,
    /** A success although the target did not send its whole response. */
    SUCCESS_FOR_INCOMPLETE,
    /** A success with the body of an additional response. */
    EXTRA_RESPONSE,
    /** A success with another body than that of the target. */
    WRONG_BODY,
    /** A success without a signature, or with one that no target made. */
    UNSIGNED_SUCCESS,
    /** A response that belongs to another request. */
    OTHER_REQUEST,
    /** A failure with another status than that of the target. */
    WRONG_STATUS,
    /** A success of a run that had started before the request was sent. */
    EARLIER_RUN,
    /** Bytes that are not a response. */
    NOT_A_RESPONSE,
    /** Bytes on a connection without a pending request. */
    UNREQUESTED_BYTES,
    /** A non-idempotent request that ran more than once. */
    RAN_TWICE,
    /** A non-idempotent request that ran although it was refused. */
    REFUSED_BUT_RAN
  }

  private record Finding(Violation kind, RawRequest request, @Nullable RawResponse response) {}

  private final TargetRuns runs;
  private final Queue<Finding> findings = new ConcurrentLinkedQueue<>();
  private final Map<Integer, Integer> statuses = new ConcurrentHashMap<>();
  private final Map<RawRequest, Integer> nonIdempotent = new ConcurrentHashMap<>();

  ResponseCheck(TargetRuns runs) {
    this.runs = runs;
  }

  /** Records a non-idempotent request before it is sent. */
  void requestSent(RawRequest request) {
    if (!request.idempotent()) {
      nonIdempotent.put(request, 0);
    }
  }

  /**
   * Checks a complete response.
   *
   * @param sentNanos when the request was sent, or earlier
   */
  void responseReceived(RawRequest request, RawResponse response, long sentNanos) {
    int status = response.status();
    statuses.merge(status, 1, Integer::sum);
    nonIdempotent.replace(request, status);
    Violation violation = violation(request, response, sentNanos);
    if (violation != null) {
      findings.add(new Finding(violation, request, response));
    }
  }

  /** Records bytes that a client received without a pending request. */
  void unrequestedBytes(RawRequest last) {
    findings.add(new Finding(Violation.UNREQUESTED_BYTES, last, null));
  }

  /** Records bytes that are not a response. */
  void notResponse(RawRequest request) {
    findings.add(new Finding(Violation.NOT_A_RESPONSE, request, null));
  }

  private @Nullable Violation violation(RawRequest request, RawResponse response, long sentNanos) {
    String id = response.callId();
    if (id != null && !id.equals(request.id())) {
      return Violation.OTHER_REQUEST;
    }
    boolean success = response.status() / 100 == 2;
    String signature = response.signature();
    if (signature == null) {
      return success ? Violation.UNSIGNED_SUCCESS : null;
    }
    TargetRun run = runs.bySignature(signature);
    if (run == null) {
      return success ? Violation.UNSIGNED_SUCCESS : Violation.WRONG_STATUS;
    }
    if (!run.id.equals(request.id())) {
      return Violation.OTHER_REQUEST;
    }
    return success
        ? violationOfSuccess(run, response, sentNanos)
        : run.status == response.status() ? null : Violation.WRONG_STATUS;
  }

  private static @Nullable Violation violationOfSuccess(
      TargetRun run, RawResponse response, long sentNanos) {
    if (run.status / 100 != 2) {
      return Violation.SUCCESS_FOR_FAILURE;
    }
    if (!run.complete) {
      return Violation.SUCCESS_FOR_INCOMPLETE;
    }
    if (Arrays.equals(run.body, response.body())) {
      return run.startNanos < sentNanos ? Violation.EARLIER_RUN : null;
    }
    return response.hasExtraBody() ? Violation.EXTRA_RESPONSE : Violation.WRONG_BODY;
  }

  /** Checks how often non-idempotent requests ran, after all requests have ended. */
  void checkRunCounts() {
    nonIdempotent.forEach(
        (request, status) -> {
          int started = runs.started(request.id());
          if (started > 1) {
            findings.add(new Finding(Violation.RAN_TWICE, request, null));
          }
          if (started > 0 && NOT_RUN_STATUSES.contains(status)) {
            findings.add(new Finding(Violation.REFUSED_BUT_RAN, request, null));
          }
        });
  }

  int successes() {
    return statuses.getOrDefault(200, 0);
  }

  boolean isEmpty() {
    return findings.isEmpty();
  }

  /** Returns the counts in one line. */
  String summary() {
    Map<Violation, Integer> counts = new EnumMap<>(Violation.class);
    findings.forEach(finding -> counts.merge(finding.kind, 1, Integer::sum));
    return "violations " + counts + ", statuses " + new TreeMap<>(statuses) + ", " + runs;
  }

  /** Describes the first violations of each kind with the runs of their requests. */
  String details() {
    StringBuilder text = new StringBuilder();
    for (Violation kind : Violation.values()) {
      List<Finding> ofKind =
          findings.stream().filter(finding -> finding.kind == kind).limit(MAX_PRINTED).toList();
      for (Finding finding : ofKind) {
        text.append("\n  ").append(kind).append(' ').append(finding.request);
        text.append("\n    received ").append(finding.response);
        text.append(runs.describe(finding.request.id()));
      }
    }
    return text.toString();
  }
}
