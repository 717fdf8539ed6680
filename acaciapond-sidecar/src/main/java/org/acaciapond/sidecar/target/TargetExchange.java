package org.acaciapond.sidecar.target;

import java.util.ArrayList;
import java.util.List;
import org.acaciapond.http.ClientRequest;
import org.acaciapond.http.HttpMessage;
import org.acaciapond.http.HttpResponse;
import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.call.MeshResponse;
import org.acaciapond.mesh.call.Outcome;
import org.acaciapond.mesh.call.Reason;
import org.acaciapond.mesh.platform.CallHeaders;
import org.acaciapond.mesh.target.TargetLoad;

/** Requests to a target, and the meaning of what it answers. */
final class TargetExchange {

  private static final int MISDIRECTED = 421;

  private final CallHeaders names;
  private final List<String> systemHeaders;

  /** Meaning of an answer. */
  enum Meaning {
    /** The target's own answer. */
    ANSWER,
    /** The target states that it did not run the request. */
    NOT_RUN,
    /** Not the target's answer: unsigned success, or a body that somebody encoded. */
    BAD
  }

  TargetExchange(CallHeaders names) {
    this.names = names;
    this.systemHeaders =
        List.of(names.callId(), names.timeoutMs(), names.targetId(), names.callerService());
  }

  ClientRequest request(MeshCall call, int leftMs) {
    List<String> headers = new ArrayList<>(HttpMessage.endToEnd(call.headers(), systemHeaders));
    add(headers, names.callId(), call.id());
    add(headers, names.timeoutMs(), Integer.toString(leftMs));
    add(headers, names.targetId(), call.targetId());
    add(headers, names.callerService(), call.callerService());
    return new ClientRequest(
        call.method(), call.uri(), headers, call.body(), answer -> belongs(call, answer));
  }

  private static void add(List<String> headers, String name, String value) {
    headers.add(name);
    headers.add(value);
  }

  private boolean belongs(MeshCall call, List<String> answer) {
    String id = HttpMessage.header(answer, names.callId());
    if (id != null) {
      return id.equals(call.id());
    }
    // A target may turn a request away without naming it; any other answer without an id may be a
    // late one to an earlier request.
    return HttpMessage.header(answer, names.notRun()) != null;
  }

  Meaning meaning(HttpResponse answer) {
    if (HttpMessage.header(answer.headers(), names.notRun()) != null
        || answer.status() == MISDIRECTED) {
      return Meaning.NOT_RUN;
    }
    boolean signed = HttpMessage.header(answer.headers(), names.signature()) != null;
    boolean encoded = HttpMessage.header(answer.headers(), "content-encoding") != null;
    return encoded || (answer.status() < 300 && !signed) ? Meaning.BAD : Meaning.ANSWER;
  }

  /** Returns the reply that carries an answer back; the caller knows the id. */
  MeshResponse reply(HttpResponse answer, long runNanos, TargetLoad load) {
    return new MeshResponse(
        Outcome.ANSWERED,
        Reason.NONE,
        0,
        answer.status(),
        HttpMessage.endToEnd(answer.headers(), List.of(names.callId())),
        answer.body(),
        (int) Math.min(Integer.MAX_VALUE, runNanos / 1_000),
        load);
  }
}
