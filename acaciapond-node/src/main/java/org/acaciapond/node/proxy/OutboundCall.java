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

/** Call of the own target to another service, with its attempts. */
final class OutboundCall extends ProxiedCall {

  private static final int SERVER_ERROR = 500;
  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;

  private final OutboundContext context;
  private final NodeClient client;
  private final ServiceConfig service;
  private final RouteConfig route;
  private final String callId;
  private final boolean isRetry;
  private final CallAttempts attempts;
  private Set<String> tried = Set.of();
  private @Nullable TargetChoice choice;
  private @Nullable ConnectionWatch watch;
  private AttemptResult answerResult = AttemptResult.ANSWERED;
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
    String given = request.getHeader(MeshHeaders.CALL_ID);
    this.callId = given == null ? newCallId() : given;
    this.attempts = new CallAttempts(route, isRetry, this::takeRetry);
    if (!isRetry) {
      context.budget().onCall();
    }
    context.counters().calls.increment();
  }

  private static String newCallId() {
    return Long.toHexString(ThreadLocalRandom.current().nextLong());
  }

  private boolean takeRetry() {
    boolean granted = !context.options().retryBudget() || context.budget().tryRetry();
    (granted ? context.counters().retries : context.counters().retriesDenied).increment();
    return granted;
  }

  @Override
  void begin() {
    TargetChoice next =
        context
            .selector()
            .choose(
                service,
                context.directory().targets(service.name()),
                context.splits().splitOf(service),
                route.version(),
                callId.hashCode(),
                tried);
    choice = next;
    if (next == null) {
      CallDecision decision = attempts.onNoTarget();
      refuse(decision.status(), decision.claimsNotRun(), "no target of " + service.name());
      return;
    }
    long leftMs = TimeUnit.NANOSECONDS.toMillis(leftNanos());
    send(client.request(next.endpoint(), request.method(), request.uri(), leftMs));
  }

  @Override
  void onUnused(HttpClientRequest unused) {
    ConnectionWatch found = client.watchOf(unused.connection());
    if (found != null) {
      found.streamUnused();
    }
  }

  @Override
  void prepare(HttpClientRequest outgoing) {
    ConnectionWatch found = client.watchOf(outgoing.connection());
    watch = found;
    if (found != null) {
      found.callStarted();
    }
    long leftMs = Math.max(0, TimeUnit.NANOSECONDS.toMillis(leftNanos()));
    outgoing.putHeader(MeshHeaders.CALLER, context.holder().current().scope().ownService());
    outgoing.putHeader(MeshHeaders.CALL_ID, callId);
    outgoing.putHeader(MeshHeaders.DEADLINE_MS, Long.toString(leftMs));
    if (attempts.retries() > 0) {
      outgoing.putHeader(MeshHeaders.RETRY, "1");
    }
  }

  @Override
  boolean mayHaveRunBefore() {
    return attempts.mayHaveRun();
  }

  @Override
  void onAnswer(HttpClientResponse response) {
    ConnectionWatch current = watch;
    if (current != null) {
      current.onHeard();
    }
    targetNanos = targetNanosOf(response);
    AttemptResult result = answerResultOf(response);
    if (result == AttemptResult.ANSWERED
        || result == AttemptResult.TARGET_ERROR
        || result == AttemptResult.REJECTED) {
      answerResult = result;
      passOn(response);
      return;
    }
    dropAnswer(response);
    settle(result);
  }

  private static long targetNanosOf(HttpClientResponse response) {
    String stated = response.getHeader(MeshHeaders.TARGET_TIME_US);
    try {
      return stated == null
          ? CallRecord.UNKNOWN_NANOS
          : TimeUnit.MICROSECONDS.toNanos(Long.parseLong(stated));
    } catch (NumberFormatException e) {
      return CallRecord.UNKNOWN_NANOS;
    }
  }

  /** Only the receiving node sets the outcome header; it moves one that its target passed on. */
  private static AttemptResult answerResultOf(HttpClientResponse response) {
    String outcome = response.getHeader(MeshHeaders.OUTCOME);
    int status = response.statusCode();
    if (outcome == null) {
      return status >= SERVER_ERROR ? AttemptResult.TARGET_ERROR : AttemptResult.ANSWERED;
    }
    if (outcome.equals(MeshHeaders.OUTCOME_NOT_RUN)) {
      return switch (status) {
        case UNAVAILABLE -> AttemptResult.REFUSED_NOT_RUN;
        case GATEWAY_TIMEOUT -> AttemptResult.DEADLINE_AT_NODE;
        default -> AttemptResult.REJECTED;
      };
    }
    return status == GATEWAY_TIMEOUT ? AttemptResult.TIMEOUT : AttemptResult.CONNECTION_LOST;
  }

  @Override
  void prepareAnswer(HttpServerResponse answer) {
    if (answerResult == AttemptResult.REJECTED && attempts.mayHaveRun()) {
      answer.putHeader(MeshHeaders.OUTCOME, MeshHeaders.OUTCOME_UNKNOWN);
    }
  }

  @Override
  void onLost(boolean wasSent) {
    settle(wasSent ? AttemptResult.CONNECTION_LOST : AttemptResult.CONNECT_FAILED);
  }

  @Override
  void onDeadline(boolean wasSent) {
    settle(wasSent ? AttemptResult.TIMEOUT : AttemptResult.DEADLINE_BEFORE_SEND);
  }

  private void settle(AttemptResult result) {
    abandonAttempt();
    TargetChoice ended = choice;
    choice = null;
    if (ended != null) {
      report(ended, result);
    }
    CallDecision decision = attempts.onResult(result, body.isReplayable() && leftNanos() > 0);
    if (decision == CallDecision.RETRY) {
      retryElsewhere(ended);
    } else {
      String reason = "no answer from " + service.name() + ": " + result;
      refuse(decision.status(), decision.claimsNotRun(), reason);
    }
  }

  private void retryElsewhere(@Nullable TargetChoice failed) {
    if (failed != null) {
      tried = tried.isEmpty() ? new HashSet<>() : tried;
      tried.add(failed.endpoint().hostId());
    }
    begin();
  }

  @Override
  void onEnd(End end) {
    TargetChoice ended = choice;
    choice = null;
    if (ended != null) {
      report(ended, resultOf(end));
    }
    context.drain().exit();
  }

  private AttemptResult resultOf(End end) {
    return switch (end) {
      case ANSWERED -> answerResult;
      case ANSWER_CUT -> AttemptResult.CONNECTION_LOST;
      case ANSWER_LATE -> AttemptResult.TIMEOUT;
      case REFUSED, CALLER_GONE -> AttemptResult.CALLER_GONE;
    };
  }

  private void report(TargetChoice ended, AttemptResult result) {
    ConnectionWatch current = watch;
    watch = null;
    if (current != null) {
      current.callEnded();
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
