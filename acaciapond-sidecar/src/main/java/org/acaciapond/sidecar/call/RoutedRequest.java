package org.acaciapond.sidecar.call;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Predicate;
import org.acaciapond.http.HttpExchange;
import org.acaciapond.http.HttpMessage;
import org.acaciapond.http.HttpResponse;
import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.call.MeshResponse;
import org.acaciapond.mesh.call.Outcome;
import org.acaciapond.mesh.call.Reason;
import org.acaciapond.mesh.route.Route;
import org.acaciapond.mesh.target.Candidate;
import org.acaciapond.mesh.target.SelectionCriteria;
import org.acaciapond.rollout.evidence.CallResult;
import org.jspecify.annotations.Nullable;

/**
 * One request between its reading and its answer. A refusal of a node is free to be tried
 * elsewhere; what may have reached a target is repeated only if the route allows it, within the
 * attempts of the route and the budget of repeats. A repeatable request whose answer stays out for
 * unusually long is tried at a second target beside the first, and the first answer counts.
 */
final class RoutedRequest {

  // Each refusal costs a round trip; with more of them the whole service is most likely full.
  private static final int MAX_REFUSALS = 2;
  private static final int MIN_FULL_RETRY_MS = 20;
  private static final int NO_TARGET_RETRY_MS = 150;
  private static final int AVOID_AFTER_REFUSAL_MS = 20;
  private static final int AVOID_AFTER_FAILURE_MS = 300;
  // Less time than this does not suffice for another call to a target.
  private static final int MIN_REPEAT_LEFT_MS = 10;
  private static final double SECOND_TRY_MOST_BUSY = 0.7;

  private final RequestRouter router;
  private final HttpExchange exchange;
  private final String id;
  private final Route route;
  private final String service;
  private final RequestTimes times;
  private final double draw;
  private final int rank;
  private final boolean ofRepeat;
  private final RequestLog log;
  private final Set<String> tried = new HashSet<>();
  private final List<Attempt> open = new ArrayList<>();
  private @Nullable Candidate last;
  private @Nullable MeshResponse failure;
  private int sentToTargets;
  private int refusals;
  private int retryAfterMs = Integer.MAX_VALUE;
  private Reason lastReason = Reason.NO_TARGET;
  private boolean mayHaveRun;
  private boolean ended;
  private long timer = -1;
  private long secondTryTimer = -1;

  RoutedRequest(
      RequestRouter router,
      HttpExchange exchange,
      String id,
      Route route,
      String service,
      int limitMs,
      double draw,
      int rank,
      boolean ofRepeat) {
    this.router = router;
    this.exchange = exchange;
    this.id = id;
    this.route = route;
    this.service = service;
    this.times = new RequestTimes(router.time, exchange.receivedNanos(), limitMs, route);
    this.draw = draw;
    this.rank = rank;
    this.log = new RequestLog(router.log, router.metrics, id, route.name());
    this.ofRepeat = ofRepeat;
  }

  void start() {
    exchange.onClose(this::clientLeft);
    int leftMs = times.leftMs();
    if (leftMs <= 0) {
      finish(503, "expired", HttpResponse.empty(503, List.of("Retry-After", "0")));
      return;
    }
    timer = router.vertx.setTimer(leftMs, timerId -> deadlineReached());
    next();
  }

  private void next() {
    if (times.leftMs() <= 0) {
      deadlineReached();
      return;
    }
    Candidate chosen = choose();
    if (chosen != null) {
      send(chosen);
    } else if (open.isEmpty()) {
      noteFullTargets();
      endWithoutTarget();
    }
  }

  // Where targets are open but none would take the request, it is refused here for their load.
  private void noteFullTargets() {
    long nowNanos = router.time.nanoTime();
    for (Candidate candidate : router.network.candidates(service)) {
      if (candidate.status().acceptsCalls() && !tried.contains(candidate.node())) {
        lastReason = Reason.FULL;
        int slots = Math.max(1, candidate.status().slots());
        double waitUs = candidate.pending(nowNanos) / slots * candidate.serviceUs();
        retryAfterMs =
            Math.min(retryAfterMs, Math.max(MIN_FULL_RETRY_MS, (int) (waitUs / 1_000 / 2)));
      }
    }
  }

  private @Nullable Candidate choose() {
    List<Candidate> candidates = router.network.candidates(service);
    Predicate<Candidate> version =
        router.versions.forRequest(service, candidates, tried.isEmpty() ? draw : 1);
    return router.chooser.choose(
        candidates,
        candidate -> !tried.contains(candidate.node()) && version.test(candidate),
        new SelectionCriteria(
            router.answerBytes(route.name()),
            router.times.meanServiceUs(route.name()),
            rank,
            times.objectiveLeftUs(),
            times.leftUs()),
        router.time.nanoTime());
  }

  private void send(Candidate chosen) {
    tried.add(chosen.node());
    last = chosen;
    long nowNanos = router.time.nanoTime();
    int leftMs = times.leftMs();
    int objectiveLeftMs = times.objectiveLeftMs();
    MeshCall call =
        new MeshCall(
            id,
            exchange.method(),
            exchange.uri(),
            HttpMessage.endToEnd(exchange.headers(), router.carriedHeaders),
            exchange.body(),
            leftMs,
            objectiveLeftMs,
            rank,
            route.name(),
            router.settings.service(),
            chosen.status().id(),
            route.repeatable(),
            ofRepeat || sentToTargets + open.size() > 0);
    Attempt attempt = new Attempt(chosen, nowNanos);
    open.add(attempt);
    Runnable giveUp = router.network.call(chosen, call, reply -> replied(attempt, reply));
    if (!attempt.done) {
      attempt.giveUp = giveUp;
      planSecondTry(objectiveLeftMs, leftMs);
    }
  }

  private void planSecondTry(int objectiveLeftMs, int leftMs) {
    if (!route.repeatable() || open.size() != 1 || ended) {
      return;
    }
    int afterMs = router.times.hedgeDelayMs(route.name(), objectiveLeftMs, leftMs);
    router.vertx.cancelTimer(secondTryTimer);
    if (afterMs > 0) {
      secondTryTimer = router.vertx.setTimer(afterMs, timerId -> secondTry());
    }
  }

  private void secondTry() {
    if (ended || open.size() != 1) {
      return;
    }
    Candidate chosen = choose();
    long nowNanos = router.time.nanoTime();
    // With no free slot a second run would only delay others, and one in another domain costs
    // bytes.
    if (chosen == null
        || chosen.isAvoided(nowNanos)
        || !chosen.domain().equals(router.settings.domain())
        || chosen.pending(nowNanos) >= SECOND_TRY_MOST_BUSY * chosen.status().slots()
        || !mayRepeat()) {
      return;
    }
    Attempt first = open.get(0);
    log.secondTry(first.candidate, chosen, (nowNanos - first.startNanos) / 1_000_000);
    send(chosen);
  }

  private void replied(Attempt attempt, MeshResponse reply) {
    attempt.done = true;
    attempt.giveUp = null;
    open.remove(attempt);
    if (!ended) {
      if (reply.outcome() == Outcome.ANSWERED && reply.status() < 300) {
        noteTimes(attempt, reply.runUs());
      }
      onReply(attempt.candidate, reply);
    }
  }

  private void noteTimes(Attempt attempt, int runUs) {
    double meanUs = router.times.meanServiceUs(route.name());
    if (meanUs > 0) {
      attempt.candidate.recordRelativeTime(runUs / meanUs);
    }
    double ms = (router.time.nanoTime() - attempt.startNanos) / 1_000_000.0;
    router.times.record(route.name(), ms, runUs);
  }

  private void giveUpOpen() {
    List<Attempt> left = new ArrayList<>(open);
    open.clear();
    left.forEach(Attempt::abandon);
  }

  private void onReply(Candidate from, MeshResponse reply) {
    log.attempt(from, reply, times.leftMs());
    if (reply.reason() != Reason.NONE) {
      lastReason = reply.reason();
    }
    tellWitness(from, reply);
    switch (reply.outcome()) {
      case ANSWERED -> onAnswer(reply);
      case REFUSED -> onRefusal(from, reply);
      case NOT_RUN -> {
        sentToTargets++;
        avoid(from, AVOID_AFTER_FAILURE_MS);
        retryAfterMs = Math.min(retryAfterMs, reply.retryAfterMs());
        repeatOrEnd(true);
      }
      default -> {
        sentToTargets++;
        mayHaveRun = true;
        avoid(from, AVOID_AFTER_FAILURE_MS);
        repeatOrEnd(route.repeatable());
      }
    }
  }

  private void repeatOrEnd(boolean allowed) {
    if (!open.isEmpty()) {
      return;
    }
    if (allowed && mayRepeat()) {
      next();
    } else {
      endWithoutTarget();
    }
  }

  private void tellWitness(Candidate from, MeshResponse reply) {
    boolean failed = reply.outcome() == Outcome.UNKNOWN || reply.status() >= 500;
    if (reply.outcome() == Outcome.ANSWERED || reply.outcome() == Outcome.UNKNOWN) {
      CallResult result = failed ? CallResult.ERROR : CallResult.SUCCESS;
      router.witness.saw(from, route.name(), result, reply.runUs());
    }
  }

  private void avoid(Candidate candidate, int ms) {
    candidate.avoidUntil(router.time.nanoTime() + ms * 1_000_000L);
  }

  private void onAnswer(MeshResponse reply) {
    sentToTargets++;
    router.answered(route.name(), reply.body().length);
    if (reply.status() >= 500 && reply.status() != 504 && route.repeatable()) {
      mayHaveRun = true;
      failure = reply;
      repeatOrEnd(true);
      return;
    }
    pass(reply);
  }

  private void pass(MeshResponse reply) {
    finish(
        reply.status(),
        reply.status() < 500 ? "answered" : "target_failed",
        new HttpResponse(reply.status(), withId(reply.headers()), reply.body()));
  }

  // The id does not travel back between nodes, as the caller knows it.
  private List<String> withId(List<String> headers) {
    List<String> all = new ArrayList<>(headers.size() + 2);
    all.add(router.names.callId());
    all.add(id);
    all.addAll(headers);
    return all;
  }

  private void onRefusal(Candidate from, MeshResponse reply) {
    refusals++;
    retryAfterMs = Math.min(retryAfterMs, reply.retryAfterMs());
    if (reply.reason() == Reason.FULL) {
      avoid(from, AVOID_AFTER_REFUSAL_MS);
    } else if (reply.reason() == Reason.UNREACHABLE) {
      avoid(from, AVOID_AFTER_FAILURE_MS);
    }
    if (!open.isEmpty()) {
      return;
    }
    if (refusals >= MAX_REFUSALS && reply.reason() == Reason.FULL) {
      endWithoutTarget();
    } else {
      next();
    }
  }

  // The first send to a target is free, each further one draws on the budget.
  private boolean mayRepeat() {
    if (sentToTargets + open.size() >= route.maxAttempts() || times.leftMs() < MIN_REPEAT_LEFT_MS) {
      return false;
    }
    boolean allowed =
        router.budget.tryRetry(service, router.network.knownNodes(), router.time.nanoTime());
    router.metrics.repeat(allowed);
    return allowed;
  }

  private void endWithoutTarget() {
    MeshResponse failed = failure;
    if (failed != null) {
      pass(failed);
    } else if (mayHaveRun) {
      finish(502, end("failed"), HttpResponse.empty(502, List.of()));
    } else {
      int afterMs = retryAfterMs == Integer.MAX_VALUE ? NO_TARGET_RETRY_MS : retryAfterMs;
      finish(
          503,
          end("refused"),
          HttpResponse.empty(503, List.of("Retry-After", RetryAfter.seconds(afterMs))));
    }
  }

  private String end(String how) {
    return how + "_" + lastReason.name().toLowerCase(Locale.ROOT);
  }

  private void deadlineReached() {
    for (Attempt attempt : open) {
      // The answer would have been at least this slow.
      router.witness.saw(
          attempt.candidate, route.name(), CallResult.SUCCESS, times.limitMs() * 1_000.0);
    }
    if (failure != null && open.isEmpty()) {
      endWithoutTarget();
      return;
    }
    int status = !open.isEmpty() || mayHaveRun ? 504 : 503;
    finish(status, "deadline", HttpResponse.empty(status, List.of()));
  }

  private void clientLeft() {
    finish(0, "client_left", null);
  }

  private void finish(int status, String end, @Nullable HttpResponse answer) {
    if (ended) {
      return;
    }
    ended = true;
    router.vertx.cancelTimer(timer);
    router.vertx.cancelTimer(secondTryTimer);
    router.ended(this);
    long nanos = times.sinceNanos();
    Candidate tried = last;
    log.ended(
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
        "last_peer",
        tried == null ? "" : tried.node());
    if (answer != null) {
      exchange.answer(answer);
    }
    giveUpOpen();
  }
}
