package org.acaciapond.node.proxy;

import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.acaciapond.config.model.RouteConfig;
import org.acaciapond.config.model.ServiceConfig;
import org.acaciapond.routing.call.AttemptResult;
import org.acaciapond.routing.call.CallAttempts;
import org.acaciapond.routing.call.CallDecision;
import org.acaciapond.routing.call.CallRecord;
import org.acaciapond.routing.target.TargetChoice;
import org.jspecify.annotations.Nullable;

/** Call of the local target to another service, with its attempts. */
final class OutboundCall extends ProxiedCall {

  private static final int SERVER_ERROR = 500;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;

  private final OutboundContext context;
  private final NodeClient client;
  private final ServiceConfig service;
  private final RouteConfig route;
  private final String callId;
  private final boolean isRetry;
  private final CallAttempts attempts;
  private Set<String> triedHostIds = Set.of();
  private @Nullable TargetChoice choice;
  private @Nullable ConnectionWatch watch;
  private AttemptResult responseResult = AttemptResult.ANSWERED;
  private long targetNanos = CallRecord.UNKNOWN_NANOS;

  OutboundCall(
      OutboundContext context,
      NodeClient client,
      HttpServerRequest request,
      ServiceConfig service,
      RouteConfig route,
      long deadlineNanos) {
    super(
        context.vertx(),
        context.time(),
        request,
        service.limits().maxBodyBytes(),
        deadlineNanos,
        context.counters(),
        context.tracer().start("outbound", request.headers()));
    this.context = context;
    this.client = client;
    this.service = service;
    this.route = route;
    this.isRetry = request.headers().contains(MeshHeaders.RETRY);
    String receivedCallId = request.getHeader(MeshHeaders.CALL_ID);
    this.callId = receivedCallId == null ? newCallId() : receivedCallId;
    this.attempts = new CallAttempts(route, isRetry, this::tryTakeRetry);
    if (!isRetry) {
      context.budget().onCall();
    }
    context.counters().calls.increment();
  }

  private static String newCallId() {
    return Long.toHexString(ThreadLocalRandom.current().nextLong());
  }

  private boolean tryTakeRetry() {
    boolean granted = !context.options().retryBudget() || context.budget().tryRetry();
    (granted ? context.counters().retries : context.counters().retriesDenied).increment();
    return granted;
  }

  @Override
  void startAttempt() {
    TargetChoice next =
        context
            .selector()
            .choose(
                service,
                context.directory().targets(service.name()),
                context.splits().splitOf(service),
                route.version(),
                callId.hashCode(),
                triedHostIds);
    choice = next;
    if (next == null) {
      CallDecision decision = attempts.onNoTarget();
      refuse(decision.status(), decision.claimsNotRun(), "no target of " + service.name());
      return;
    }
    long remainingMs = TimeUnit.NANOSECONDS.toMillis(remainingNanos());
    send(client.request(next.endpoint(), request.method(), request.uri(), remainingMs));
  }

  @Override
  void onUnusedRequest(HttpClientRequest unused) {
    ConnectionWatch requestWatch = client.watchOf(unused.connection());
    if (requestWatch != null) {
      requestWatch.onStreamUnused();
    }
  }

  @Override
  void prepareRequest(HttpClientRequest outgoing) {
    ConnectionWatch requestWatch = client.watchOf(outgoing.connection());
    watch = requestWatch;
    if (requestWatch != null) {
      requestWatch.onCallStarted();
    }
    long remainingMs = Math.max(0, TimeUnit.NANOSECONDS.toMillis(remainingNanos()));
    outgoing.putHeader(MeshHeaders.CALLER, context.holder().current().scope().ownService());
    outgoing.putHeader(MeshHeaders.CALL_ID, callId);
    outgoing.putHeader(MeshHeaders.DEADLINE_MS, Long.toString(remainingMs));
    if (attempts.retries() > 0) {
      outgoing.putHeader(MeshHeaders.RETRY, "1");
    }
  }

  @Override
  boolean mayHaveRunBefore() {
    return attempts.mayHaveRun();
  }

  @Override
  void onResponse(HttpClientResponse response) {
    ConnectionWatch current = watch;
    if (current != null) {
      current.onDataReceived();
    }
    targetNanos = targetNanosOf(response);
    AttemptResult result = responseResultOf(response);
    if (result == AttemptResult.ANSWERED
        || result == AttemptResult.TARGET_ERROR
        || result == AttemptResult.REJECTED) {
      responseResult = result;
      forward(response);
      return;
    }
    discardResponse(response);
    finishAttempt(result);
  }

  private static long targetNanosOf(HttpClientResponse response) {
    String headerValue = response.getHeader(MeshHeaders.TARGET_TIME_US);
    try {
      return headerValue == null
          ? CallRecord.UNKNOWN_NANOS
          : TimeUnit.MICROSECONDS.toNanos(Long.parseLong(headerValue));
    } catch (NumberFormatException e) {
      return CallRecord.UNKNOWN_NANOS;
    }
  }

  /** The receiving node alone sets the outcome header; it renames one set by its target. */
  private static AttemptResult responseResultOf(HttpClientResponse response) {
    String outcome = response.getHeader(MeshHeaders.OUTCOME);
    int status = response.statusCode();
    if (!TargetResponses.isFinalStatus(status)) {
      return AttemptResult.CONNECTION_LOST;
    }
    if (outcome == null) {
      return status >= SERVER_ERROR ? AttemptResult.TARGET_ERROR : AttemptResult.ANSWERED;
    }
    if (outcome.equals(MeshHeaders.OUTCOME_NOT_RUN)) {
      return switch (status) {
        case SERVICE_UNAVAILABLE -> AttemptResult.REFUSED_NOT_RUN;
        case GATEWAY_TIMEOUT -> AttemptResult.DEADLINE_AT_NODE;
        default -> AttemptResult.REJECTED;
      };
    }
    return status == GATEWAY_TIMEOUT ? AttemptResult.TIMEOUT : AttemptResult.CONNECTION_LOST;
  }

  @Override
  void prepareResponse(HttpServerResponse callerResponse) {
    if (responseResult == AttemptResult.REJECTED && attempts.mayHaveRun()) {
      callerResponse.putHeader(MeshHeaders.OUTCOME, MeshHeaders.OUTCOME_UNKNOWN);
    }
  }

  @Override
  void onConnectionLost(boolean wasSent) {
    finishAttempt(wasSent ? AttemptResult.CONNECTION_LOST : AttemptResult.CONNECT_FAILED);
  }

  @Override
  void onDeadline(boolean wasSent) {
    finishAttempt(wasSent ? AttemptResult.TIMEOUT : AttemptResult.DEADLINE_BEFORE_SEND);
  }

  private void finishAttempt(AttemptResult result) {
    abandonAttempt();
    TargetChoice ended = choice;
    choice = null;
    if (ended != null) {
      reportAttempt(ended, result);
    }
    CallDecision decision = attempts.onResult(result, body.isReplayable() && remainingNanos() > 0);
    if (decision == CallDecision.RETRY) {
      retryOnAnotherTarget(ended);
    } else {
      String reason = "no answer from " + service.name() + ": " + result;
      refuse(decision.status(), decision.claimsNotRun(), reason);
    }
  }

  private void retryOnAnotherTarget(@Nullable TargetChoice failed) {
    if (failed != null) {
      triedHostIds = triedHostIds.isEmpty() ? new HashSet<>() : triedHostIds;
      triedHostIds.add(failed.endpoint().hostId());
    }
    startAttempt();
  }

  @Override
  void onEnd(End end) {
    TargetChoice ended = choice;
    choice = null;
    if (ended != null) {
      reportAttempt(ended, resultOf(end));
    }
    context.drain().onCallEnded();
  }

  private AttemptResult resultOf(End end) {
    return switch (end) {
      case ANSWERED -> responseResult;
      case ANSWER_CUT -> AttemptResult.CONNECTION_LOST;
      case ANSWER_LATE -> AttemptResult.TIMEOUT;
      case REFUSED, CALLER_GONE -> AttemptResult.CALLER_GONE;
    };
  }

  private void reportAttempt(TargetChoice ended, AttemptResult result) {
    ConnectionWatch current = watch;
    watch = null;
    if (current != null) {
      current.onCallEnded();
    }
    long latencyNanos = ended.end(result);
    context
        .listener()
        .onCall(
            new CallRecord(
                service.name(),
                ended.endpoint().version(),
                route.path(),
                ended.endpoint().hostId(),
                result.outcome(),
                latencyNanos,
                targetNanos));
    targetNanos = CallRecord.UNKNOWN_NANOS;
  }
}
