package org.acaciapond.sidecar.call;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Predicate;
import org.acaciapond.http.HttpExchange;
import org.acaciapond.http.HttpResponse;
import org.acaciapond.mesh.account.ClientAccount;
import org.acaciapond.mesh.admission.CallRank;
import org.acaciapond.mesh.admission.ReturnSchedule;
import org.acaciapond.mesh.admission.ServiceRoom;
import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.call.MeshResponse;
import org.acaciapond.mesh.call.OpenCall;
import org.acaciapond.mesh.call.Outcome;
import org.acaciapond.mesh.call.Reason;
import org.acaciapond.mesh.route.Route;
import org.acaciapond.mesh.target.Candidate;
import org.acaciapond.rollout.evidence.CallResult;
import org.jspecify.annotations.Nullable;

/**
 * One request from its receipt to its response. A request that a node refused is sent to another
 * target without using the retry budget. A request that may have run in a target is retried only if
 * its route is idempotent. Retries are limited by the attempts of the route and the retry budget.
 * If the response to an idempotent request takes unusually long, a hedged attempt is sent to a
 * second target and the first response is used.
 */
final class RoutedRequest {

  // Each refusal costs a round trip; after this many the whole service is most likely full.
  private static final int MAX_REFUSALS = 2;
  private static final int MIN_FULL_RETRY_AFTER_MS = 20;
  private static final int NO_TARGET_RETRY_AFTER_MS = 150;
  private static final int AVOID_AFTER_REFUSAL_MS = 20;
  private static final int AVOID_AFTER_FAILURE_MS = 300;
  // Less remaining time does not suffice for another call to a target.
  private static final int MIN_RETRY_TIME_LEFT_MS = 10;
  private static final double MAX_HEDGE_UTILIZATION = 0.7;
  // Queued calls per slot at which the target of a nested call is congested. A call waits for about
  // as many service times.
  private static final int LONG_QUEUE_SLOTS = 3;

  private final RequestRouter router;
  private final HttpExchange exchange;
  private final List<String> headers;
  private final String id;
  private final Route route;
  private final String service;
  private final ServiceRoom room;
  private final RequestTimes times;
  private final long clientDeadlineNanos;
  private final long firstReceivedNanos;
  // Whether the client comes back at the time that it was told.
  private final boolean returned;
  private final double draw;
  // Call that runs in the local target and made this request; null for requests of clients.
  private final @Nullable MeshCall parent;
  private final int rank;
  private final boolean partOfRetry;
  // Name of the client account; empty if the request has none.
  private final String account;
  private final RequestTokens tokens;
  private final RequestLog log;
  private final Set<String> triedNodes = new HashSet<>();
  private final List<Attempt> openAttempts = new ArrayList<>();
  private @Nullable Candidate lastCandidate;
  private @Nullable MeshResponse failedResponse;
  private int sentToTargets;
  private int refusals;
  private int retryAfterMs = Integer.MAX_VALUE;
  private Reason lastReason = Reason.NO_TARGET;
  // Time that the client was told to come back after, according to the schedule of the service.
  private int toldMs;
  private boolean mayHaveRun;
  private boolean ended;
  private long deadlineTimer = -1;
  private long hedgeTimer = -1;

  /**
   * Creates a request that is not started.
   *
   * @param firstReceivedNanos when the first try was received, if the client comes back at the time
   *     that it was told; otherwise null
   * @param draw random number that decides between the versions of the service
   * @param tokens tokens of the limit of its account
   */
  RoutedRequest(
      RequestRouter router,
      IncomingRequest request,
      String service,
      @Nullable Long firstReceivedNanos,
      double draw,
      RequestTokens tokens) {
    final MeshCall parent = request.parent();
    final ClientAccount account = request.account();
    this.router = router;
    this.exchange = request.exchange();
    this.headers = request.headers();
    this.id = request.id();
    this.route = request.route();
    this.service = service;
    this.room = router.room(service);
    this.clientDeadlineNanos = request.clientDeadlineNanos();
    this.returned = firstReceivedNanos != null;
    this.firstReceivedNanos =
        firstReceivedNanos == null ? exchange.receivedNanos() : firstReceivedNanos;
    this.times =
        new RequestTimes(
            router.time,
            exchange.receivedNanos(),
            this.firstReceivedNanos,
            request.limitMs(),
            route,
            router.latencies.meanServiceUs(route.name()));
    this.draw = draw;
    this.parent = parent;
    this.rank =
        parent == null ? rankOfRequest(route, account) : CallRank.ofNestedCall(parent.rank());
    this.log = new RequestLog(router.log, router.metrics, id, route.name());
    this.partOfRetry = parent != null && parent.retry();
    this.account = account == null ? "" : account.name();
    this.tokens = tokens;
  }

  /** Returns the rank of a request of a client. */
  static int rankOfRequest(Route route, @Nullable ClientAccount account) {
    return CallRank.ofRequest(
        account == null ? route.priority() : account.priority().orElse(route.priority()));
  }

  void start() {
    exchange.onClose(this::onClientClosed);
    int leftMs = times.leftMs();
    if (leftMs <= 0) {
      finish(503, "expired", HttpResponse.empty(503, List.of("Retry-After", "0")));
      return;
    }
    deadlineTimer = router.vertx.setTimer(leftMs, timerId -> onDeadline());
    if (isThrottled()) {
      lastReason = Reason.FULL;
      finishWithoutSuccess();
      return;
    }
    sendNextAttempt();
  }

  // Refusing a nested call would waste the work done for its request.
  private boolean isThrottled() {
    return parent == null && !room.throttle(rank).allows(router.time.nanoTime()) && !returned;
  }

  private void sendNextAttempt() {
    if (times.leftMs() <= 0) {
      onDeadline();
      return;
    }
    Candidate chosen = chooseTarget();
    if (chosen != null) {
      send(chosen);
    } else if (openAttempts.isEmpty()) {
      recordFullTargets();
      finishWithoutSuccess();
    }
  }

  // If targets accept calls but none would admit the request, it is refused here as over capacity.
  private void recordFullTargets() {
    long nowNanos = router.time.nanoTime();
    for (Candidate candidate : router.network.candidates(service)) {
      if (candidate.acceptsCalls() && !triedNodes.contains(candidate.node())) {
        lastReason = Reason.FULL;
        int slots = Math.max(1, candidate.status().slots());
        double waitUs = candidate.pending(nowNanos) / slots * candidate.serviceUs();
        retryAfterMs =
            Math.min(retryAfterMs, Math.max(MIN_FULL_RETRY_AFTER_MS, (int) (waitUs / 1_000 / 2)));
      }
    }
  }

  private @Nullable Candidate chooseTarget() {
    List<Candidate> candidates = router.network.candidates(service);
    Predicate<Candidate> versionFilter =
        router.versions.forRequest(service, candidates, triedNodes.isEmpty() ? draw : 1);
    return router.chooser.choose(
        candidates,
        candidate -> !triedNodes.contains(candidate.node()) && versionFilter.test(candidate),
        router.criteria(route, service, rank, times.objectiveLeftUs(), times.leftUs()),
        router.time.nanoTime());
  }

  private void send(Candidate chosen) {
    triedNodes.add(chosen.node());
    tokens.onSent();
    lastCandidate = chosen;
    long nowNanos = router.time.nanoTime();
    int leftMs = times.leftMs();
    int objectiveLeftMs = times.objectiveLeftMs();
    MeshCall call =
        new MeshCall(
            id,
            exchange.method(),
            exchange.uri(),
            headers,
            exchange.body(),
            leftMs,
            objectiveLeftMs,
            rank,
            route.name(),
            router.settings.service(),
            chosen.status().id(),
            route.idempotent(),
            partOfRetry || sentToTargets + openAttempts.size() > 0,
            account);
    Attempt attempt = new Attempt(chosen, nowNanos);
    openAttempts.add(attempt);
    router.callObserver.onCallSent(attempt.target);
    OpenCall openCall =
        router.network.call(chosen, call, response -> onAttemptEnded(attempt, response));
    if (!attempt.done) {
      attempt.call = openCall;
      scheduleHedgedAttempt(objectiveLeftMs, leftMs);
    }
  }

  private void scheduleHedgedAttempt(int objectiveLeftMs, int leftMs) {
    if (!route.idempotent() || openAttempts.size() != 1 || ended) {
      return;
    }
    int afterMs = router.latencies.hedgeDelayMs(route.name(), objectiveLeftMs, leftMs);
    router.vertx.cancelTimer(hedgeTimer);
    if (afterMs > 0) {
      hedgeTimer = router.vertx.setTimer(afterMs, timerId -> sendHedgedAttempt());
    }
  }

  private void sendHedgedAttempt() {
    if (ended || openAttempts.size() != 1) {
      return;
    }
    Candidate chosen = chooseTarget();
    long nowNanos = router.time.nanoTime();
    // Without a free slot a hedged attempt would only delay other calls, and one in another failure
    // domain would cost bytes between domains.
    if (chosen == null
        || chosen.isAvoided(nowNanos)
        || !chosen.domain().equals(router.settings.domain())
        || chosen.pending(nowNanos) >= MAX_HEDGE_UTILIZATION * chosen.status().slots()
        || !tryRetry()) {
      return;
    }
    Attempt first = openAttempts.get(0);
    log.hedgedAttemptSent(first.candidate, chosen, (nowNanos - first.startNanos) / 1_000_000);
    send(chosen);
  }

  private void onAttemptEnded(Attempt attempt, MeshResponse response) {
    attempt.done = true;
    attempt.call = null;
    openAttempts.remove(attempt);
    if (!ended) {
      if (response.outcome() == Outcome.ANSWERED && response.status() < 300) {
        recordLatency(attempt, response.serviceUs());
      }
      onResponse(attempt, response);
    }
  }

  private void recordLatency(Attempt attempt, int serviceUs) {
    double meanUs = router.latencies.meanServiceUs(route.name());
    if (meanUs > 0) {
      attempt.candidate.recordRelativeServiceTime(serviceUs / meanUs);
    }
    double latencyMs = (router.time.nanoTime() - attempt.startNanos) / 1_000_000.0;
    router.latencies.record(route.name(), latencyMs, serviceUs);
  }

  private void cancelOpenAttempts() {
    List<Attempt> remaining = new ArrayList<>(openAttempts);
    openAttempts.clear();
    remaining.forEach(Attempt::cancel);
  }

  private void onResponse(Attempt attempt, MeshResponse response) {
    Candidate from = attempt.candidate;
    log.attemptEnded(from, response, times.leftMs());
    if (response.reason() != Reason.NONE) {
      lastReason = response.reason();
    }
    recordRoom(response);
    reportCallResult(attempt, response);
    if (response.outcome() == Outcome.REFUSED || response.outcome() == Outcome.NOT_RUN) {
      tokens.onNotRun();
    }
    switch (response.outcome()) {
      case ANSWERED -> onTargetResponse(response);
      case REFUSED -> onRefusal(from, response);
      case NOT_RUN -> {
        sentToTargets++;
        avoid(from, AVOID_AFTER_FAILURE_MS);
        retryAfterMs = Math.min(retryAfterMs, response.retryAfterMs());
        retryOrEnd(true);
      }
      default -> {
        sentToTargets++;
        mayHaveRun = true;
        avoid(from, AVOID_AFTER_FAILURE_MS);
        retryOrEnd(route.idempotent());
      }
    }
  }

  private void recordRoom(MeshResponse response) {
    long nowNanos = router.time.nanoTime();
    if (response.outcome() == Outcome.ANSWERED) {
      room.returns().recordServed(nowNanos);
    }
    if (response.outcome() != Outcome.REFUSED) {
      room.throttle(rank).recordAdmitted(nowNanos);
    }
  }

  private void retryOrEnd(boolean allowed) {
    if (!openAttempts.isEmpty()) {
      return;
    }
    if (allowed && tryRetry()) {
      sendNextAttempt();
    } else {
      finishWithoutSuccess();
    }
  }

  private void reportCallResult(Attempt attempt, MeshResponse response) {
    switch (response.outcome()) {
      case REFUSED -> router.callObserver.onCallRefused(attempt.target);
      case NOT_RUN -> notifyObserver(attempt, CallResult.NOT_RUN, 0);
      case UNKNOWN -> {
        // A broken connection between nodes tells nothing about the version of the target.
        boolean nodeLost = response.reason() == Reason.NODE_LOST;
        notifyObserver(attempt, nodeLost ? CallResult.CANCELLED : CallResult.ERROR, 0);
      }
      default -> notifyObserver(attempt, resultOf(response), response.serviceUs());
    }
  }

  private static CallResult resultOf(MeshResponse response) {
    if (response.reason() == Reason.NESTED_FAILED) {
      return CallResult.CANCELLED;
    }
    return response.status() >= 500 ? CallResult.ERROR : CallResult.SUCCESS;
  }

  private void notifyObserver(Attempt attempt, CallResult result, double serviceUs) {
    boolean cold = attempt.candidate.isCold(router.time.nanoTime());
    router.callObserver.onCallResult(attempt.target, route.name(), result, serviceUs, cold);
  }

  private void avoid(Candidate candidate, int ms) {
    candidate.avoidUntil(router.time.nanoTime() + ms * 1_000_000L);
  }

  private void onTargetResponse(MeshResponse response) {
    sentToTargets++;
    router.recordResponseBytes(route.name(), response.body().length);
    if (isWorthRetrying(response)) {
      mayHaveRun = true;
      failedResponse = response;
      retryOrEnd(true);
      return;
    }
    finishWith(response);
  }

  // A failed nested call has been retried itself; running the request again would only repeat all
  // its nested calls.
  private boolean isWorthRetrying(MeshResponse response) {
    return response.status() >= 500
        && response.status() != 504
        && response.reason() != Reason.NESTED_FAILED
        && route.idempotent();
  }

  private void finishWith(MeshResponse response) {
    recordNestedCall(isFromCongestedTarget(response));
    if (response.status() >= 500) {
      recordNestedFailure();
    }
    finish(
        response.status(),
        response.status() < 500 ? "answered" : "target_failed",
        new HttpResponse(response.status(), withCallId(response.headers()), response.body()));
  }

  // Responses between nodes do not contain the call id, as the calling node knows it.
  private List<String> withCallId(List<String> headers) {
    List<String> all = new ArrayList<>(headers.size() + 2);
    all.add(router.headerNames.callId());
    all.add(id);
    all.addAll(headers);
    return all;
  }

  private void onRefusal(Candidate from, MeshResponse response) {
    refusals++;
    retryAfterMs = Math.min(retryAfterMs, response.retryAfterMs());
    if (response.reason() == Reason.FULL) {
      avoid(from, AVOID_AFTER_REFUSAL_MS);
    } else if (response.reason() == Reason.UNREACHABLE) {
      avoid(from, AVOID_AFTER_FAILURE_MS);
    }
    if (!openAttempts.isEmpty()) {
      return;
    }
    if (refusals >= MAX_REFUSALS && response.reason() == Reason.FULL) {
      finishWithoutSuccess();
    } else {
      sendNextAttempt();
    }
  }

  // The first attempt that reaches a target is free; each further one uses the retry budget.
  private boolean tryRetry() {
    if (sentToTargets + openAttempts.size() >= route.maxAttempts()
        || times.leftMs() < MIN_RETRY_TIME_LEFT_MS
        || !tokens.tryTake()) {
      return false;
    }
    boolean allowed = router.retries.tryRetry(service);
    router.metrics.countRetry(allowed);
    return allowed;
  }

  // The time that passed at this node would include delays of the network and of busy hosts, which
  // fewer running requests do not shorten.
  private boolean isFromCongestedTarget(MeshResponse response) {
    Candidate last = lastCandidate;
    int ahead = CallRank.isUrgent(rank) ? response.load().urgentQueued() : response.load().queued();
    return last != null && ahead >= LONG_QUEUE_SLOTS * Math.max(1, last.status().slots());
  }

  private void recordNestedCall(boolean congested) {
    MeshCall caller = parent;
    if (caller != null) {
      router.gateway.recordNestedCall(caller, congested);
    }
  }

  private void recordNestedFailure() {
    MeshCall caller = parent;
    if (caller != null) {
      router.gateway.recordNestedFailure(caller);
    }
  }

  private void finishWithoutSuccess() {
    MeshResponse failed = failedResponse;
    if (failed != null) {
      finishWith(failed);
      return;
    }
    if (lastReason == Reason.FULL && refusals > 0 && retryAfterMs != Integer.MAX_VALUE) {
      room.throttle(rank).recordRefused(retryAfterMs, router.time.nanoTime());
    }
    recordNestedCall(lastReason == Reason.FULL);
    recordNestedFailure();
    if (mayHaveRun) {
      finish(502, endName("failed"), HttpResponse.empty(502, List.of()));
    } else {
      int afterMs = retryAfterMs();
      finish(
          503,
          endName("refused"),
          HttpResponse.empty(503, List.of("Retry-After", RetryAfter.seconds(afterMs))));
    }
  }

  private int retryAfterMs() {
    boolean known = retryAfterMs != Integer.MAX_VALUE;
    if (lastReason != Reason.FULL || parent != null) {
      return known ? retryAfterMs : NO_TARGET_RETRY_AFTER_MS;
    }
    toldMs =
        room.returns()
            .retryAfterMs(
                new ReturnSchedule.Refused(route.name(), clientDeadlineNanos, firstReceivedNanos),
                known ? retryAfterMs : room.throttle(rank).waitMs(),
                router.time.nanoTime());
    return toldMs;
  }

  private String endName(String prefix) {
    return prefix + "_" + lastReason.name().toLowerCase(Locale.ROOT);
  }

  private void onDeadline() {
    for (Attempt attempt : openAttempts) {
      // The response would have taken at least this long.
      notifyObserver(attempt, CallResult.SUCCESS, times.limitMs() * 1_000.0);
    }
    if (failedResponse != null && openAttempts.isEmpty()) {
      finishWithoutSuccess();
      return;
    }
    recordNestedFailure();
    mayHaveRun |= openAttempts.stream().anyMatch(Attempt::mayHaveRun);
    int status = mayHaveRun ? 504 : 503;
    finish(status, "deadline", HttpResponse.empty(status, List.of()));
  }

  private void onClientClosed() {
    finish(0, "client_left", null);
  }

  private void finish(int status, String end, @Nullable HttpResponse response) {
    if (ended) {
      return;
    }
    ended = true;
    router.vertx.cancelTimer(deadlineTimer);
    router.vertx.cancelTimer(hedgeTimer);
    router.requestEnded(this);
    tokens.giveBackUnused();
    long nanos = times.elapsedNanos();
    Candidate lastTried = lastCandidate;
    log.requestEnded(
        end,
        status,
        nanos,
        "rank",
        rank,
        "service",
        service,
        "limit_ms",
        times.limitMs(),
        "sent",
        sentToTargets,
        "refusals",
        refusals,
        "returned",
        returned,
        "told_ms",
        toldMs,
        "last_peer",
        lastTried == null ? "" : lastTried.node());
    if (response != null) {
      exchange.respond(response);
    }
    cancelOpenAttempts();
  }
}
