package org.acaciapond.sidecar.target;

import java.util.ArrayList;
import java.util.List;
import org.acaciapond.http.ClientRequest;
import org.acaciapond.http.HttpMessage;
import org.acaciapond.http.HttpResponse;
import org.acaciapond.http.HttpStatus;
import org.acaciapond.http.ResponseHead;
import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.call.MeshResponse;
import org.acaciapond.mesh.call.Outcome;
import org.acaciapond.mesh.call.Reason;
import org.acaciapond.mesh.pace.CallEnd;
import org.acaciapond.mesh.platform.CallHeaders;
import org.acaciapond.mesh.target.TargetLoad;
import org.jspecify.annotations.Nullable;

/** Builder of requests to a target and classifier of its responses. */
final class TargetExchange {

  private static final int STATUS_MISDIRECTED_REQUEST = 421;

  private final CallHeaders headerNames;
  private final List<String> systemHeaders;

  /** Classification of a response. */
  enum ResponseKind {
    /** The target's own response. */
    VALID,
    /** The target states that it did not run the request. */
    NOT_RUN,
    /**
     * Not the target's own response: an unsigned success, a body with a content encoding, a status
     * that is none of HTTP, or a head with several signatures or ids.
     */
    INVALID
  }

  TargetExchange(CallHeaders headerNames) {
    this.headerNames = headerNames;
    this.systemHeaders =
        List.of(
            headerNames.callId(),
            headerNames.timeoutMs(),
            headerNames.targetId(),
            headerNames.callerService(),
            headerNames.account());
  }

  /**
   * Builds the request of a call.
   *
   * @param firstOnConnection whether the connection has carried no request before
   */
  ClientRequest buildRequest(MeshCall call, int leftMs, boolean firstOnConnection) {
    List<String> headers = new ArrayList<>(HttpMessage.endToEnd(call.headers(), systemHeaders));
    add(headers, headerNames.callId(), call.id());
    add(headers, headerNames.timeoutMs(), Integer.toString(leftMs));
    add(headers, headerNames.targetId(), call.targetId());
    add(headers, headerNames.callerService(), call.callerService());
    if (!call.account().isEmpty()) {
      add(headers, headerNames.account(), call.account());
    }
    return new ClientRequest(
        call.method(),
        call.uri(),
        headers,
        call.body(),
        response -> matchesCall(call, response, firstOnConnection));
  }

  private static void add(List<String> headers, String name, String value) {
    headers.add(name);
    headers.add(value);
  }

  /** Returns the call id that the target returned, or null. */
  @Nullable String returnedId(ResponseHead head) {
    return HttpMessage.header(head.headers(), headerNames.callId());
  }

  private boolean matchesCall(MeshCall call, List<String> response, boolean firstOnConnection) {
    String id = HttpMessage.header(response, headerNames.callId());
    if (id != null) {
      return id.equals(call.id());
    }
    // A target may reject a request without returning its id. Any other response without an id, and
    // on a connection that was used before also a rejection, may be a late one to an earlier
    // request.
    return firstOnConnection && HttpMessage.header(response, headerNames.notRun()) != null;
  }

  ResponseKind classify(HttpResponse response) {
    List<String> headers = response.headers();
    int signatures = HttpMessage.count(headers, headerNames.signature());
    if (signatures > 1 || HttpMessage.count(headers, headerNames.callId()) > 1) {
      // Parts of the heads of several responses.
      return ResponseKind.INVALID;
    }
    if (HttpMessage.header(headers, headerNames.notRun()) != null
        || response.status() == STATUS_MISDIRECTED_REQUEST) {
      return ResponseKind.NOT_RUN;
    }
    if (!HttpStatus.isFinal(response.status())) {
      return ResponseKind.INVALID;
    }
    boolean encoded = HttpMessage.header(headers, "content-encoding") != null;
    return encoded || (response.status() < 300 && signatures == 0)
        ? ResponseKind.INVALID
        : ResponseKind.VALID;
  }

  /** Returns what a response tells about the load of the target. */
  CallEnd callEnd(ResponseKind kind, HttpResponse response) {
    return switch (kind) {
      case INVALID -> CallEnd.BROKEN;
      case NOT_RUN ->
          response.status() == STATUS_MISDIRECTED_REQUEST ? CallEnd.NO_EVIDENCE : CallEnd.REFUSED;
      default -> response.status() < 300 ? CallEnd.ANSWERED : CallEnd.NO_EVIDENCE;
    };
  }

  /** Converts a response for the calling node, without the call id, which that node knows. */
  MeshResponse toMeshResponse(
      HttpResponse response, Reason reason, long serviceNanos, TargetLoad load) {
    return new MeshResponse(
        Outcome.ANSWERED,
        reason,
        0,
        response.status(),
        HttpMessage.endToEnd(response.headers(), List.of(headerNames.callId())),
        response.body(),
        (int) Math.min(Integer.MAX_VALUE, serviceNanos / 1_000),
        load);
  }
}
