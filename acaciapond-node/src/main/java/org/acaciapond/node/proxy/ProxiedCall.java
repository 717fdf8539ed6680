package org.acaciapond.node.proxy;

import io.vertx.core.AsyncResult;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.concurrent.TimeUnit;
import org.acaciapond.common.time.TimeSource;
import org.jspecify.annotations.Nullable;

/**
 * Call that a proxy passes on, from its request to the end of its answer; confined to the event
 * loop of the request.
 *
 * <p>Callbacks of an attempt that is over are ignored, so a late answer never reaches the caller.
 */
abstract class ProxiedCall {

  private static final int TOO_LARGE = 413;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  final Vertx vertx;
  final TimeSource time;
  final HttpServerRequest request;
  final ReplayBody body;
  final long deadlineNanos;
  private final RequestPathCounters counters;
  private final @Nullable HopSpan span;
  private @Nullable HttpClientRequest outgoing;
  private long timerId = -1;
  private int attempt;
  private boolean sent;
  private boolean answering;
  private long answerLeftBytes = -1;
  private boolean done;

  ProxiedCall(
      Vertx vertx,
      TimeSource time,
      HttpServerRequest request,
      long maxBodyBytes,
      long deadlineNanos,
      RequestPathCounters counters,
      @Nullable HopSpan span) {
    this.vertx = vertx;
    this.time = time;
    this.request = request;
    this.deadlineNanos = deadlineNanos;
    this.counters = counters;
    this.span = span;
    this.body = new ReplayBody(request, maxBodyBytes, this::refuseTooLarge);
    request.exceptionHandler(error -> callerGone());
    request.response().exceptionHandler(error -> callerGone());
    request.response().closeHandler(ignored -> callerGone());
  }

  /** Starts the clock of the deadline and then the first attempt. */
  final void start(long maxBodyBytes) {
    if (statedLength() > maxBodyBytes) {
      refuseTooLarge();
      return;
    }
    long leftMs = TimeUnit.NANOSECONDS.toMillis(leftNanos());
    if (leftMs <= 0) {
      onDeadline(false);
      return;
    }
    timerId = vertx.setTimer(leftMs, id -> deadlineReached());
    if (request.headers().contains("expect")) {
      request.response().writeContinue();
    }
    body.whenKnown(
        () -> {
          if (!done) {
            begin();
          }
        });
  }

  private long statedLength() {
    String length = request.getHeader("content-length");
    try {
      return length == null ? 0 : Long.parseLong(length);
    } catch (NumberFormatException e) {
      return Long.MAX_VALUE;
    }
  }

  final long leftNanos() {
    return deadlineNanos - time.nanoTime();
  }

  final boolean isDone() {
    return done;
  }

  /** Takes the first step once the body may be sent. */
  abstract void begin();

  /** Returns whether an earlier attempt may have run. */
  abstract boolean mayHaveRunBefore();

  /** Prepares the headers of an outgoing request. */
  abstract void prepare(HttpClientRequest request);

  /** Receives a request that got its connection when the attempt was over already. */
  void onUnused(HttpClientRequest unused) {}

  /** Receives the head of an answer; passes it on or ends the attempt. */
  abstract void onAnswer(HttpClientResponse response);

  /** Receives the loss of an attempt before the head of its answer. */
  abstract void onLost(boolean wasSent);

  /** Receives the end of the time allowed. */
  abstract void onDeadline(boolean wasSent);

  /** Receives the end of the call; called once. */
  abstract void onEnd(End end);

  /** How a call ended. */
  enum End {
    ANSWERED,
    ANSWER_CUT,
    ANSWER_LATE,
    REFUSED,
    CALLER_GONE
  }

  /** Starts an attempt with the result of the request for a connection. */
  final void send(io.vertx.core.Future<HttpClientRequest> connection) {
    int current = ++attempt;
    sent = false;
    connection.onComplete(result -> connected(current, result));
  }

  private void connected(int current, AsyncResult<HttpClientRequest> result) {
    if (done || current != attempt) {
      if (result.succeeded()) {
        result.result().exceptionHandler(error -> {});
        result.result().reset();
        onUnused(result.result());
      }
      return;
    }
    if (result.failed()) {
      onLost(false);
      return;
    }
    HttpClientRequest next = result.result();
    outgoing = next;
    sent = true;
    HopHeaders.copy(request.headers(), next.headers());
    prepare(next);
    if (span != null) {
      span.inject(next.headers());
    }
    next.exceptionHandler(error -> {});
    next.response().onComplete(answer -> answered(current, answer));
    body.sendTo(next);
  }

  private void answered(int current, AsyncResult<HttpClientResponse> answer) {
    if (done || current != attempt) {
      return;
    }
    if (answer.succeeded()) {
      onAnswer(answer.result());
    } else {
      // The stream is over. Resetting it while its connection fails makes Vert.x fail the next
      // stream in the same call chain, which overflows the stack with many calls in flight.
      outgoing = null;
      onLost(true);
    }
  }

  /** Ends the current attempt so that its late events are ignored. */
  final void abandonAttempt() {
    attempt++;
    body.detach();
    HttpClientRequest current = outgoing;
    outgoing = null;
    if (current != null) {
      current.reset();
    }
  }

  /** Ends the attempt of an answer that is not passed on; its stream ends by itself. */
  final void dropAnswer(HttpClientResponse response) {
    attempt++;
    body.detach();
    outgoing = null;
    response.resume();
  }

  /** Streams an answer to the caller with back-pressure. */
  final void passOn(HttpClientResponse response) {
    answering = true;
    HttpServerResponse answer = request.response();
    answer.setStatusCode(response.statusCode());
    HopHeaders.copy(response.headers(), answer.headers());
    prepareAnswer(answer);
    if (!response.headers().contains("content-length") && mayHaveBody(response)) {
      answer.setChunked(true);
    }
    response.exceptionHandler(error -> cut(End.ANSWER_CUT));
    answerLeftBytes = answerLength(response);
    response.endHandler(ignored -> answerEnded(null));
    response.handler(data -> passOnData(response, answer, data));
  }

  private boolean mayHaveBody(HttpClientResponse response) {
    int status = response.statusCode();
    return request.method() != HttpMethod.HEAD && status != NO_CONTENT && status != NOT_MODIFIED;
  }

  /** Returns the length of the body that follows, or -1 when the answer does not state it. */
  private long answerLength(HttpClientResponse response) {
    String length = response.getHeader("content-length");
    if (length == null || !mayHaveBody(response)) {
      return -1;
    }
    try {
      return Long.parseLong(length);
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  private void passOnData(HttpClientResponse response, HttpServerResponse answer, Buffer data) {
    if (done) {
      return;
    }
    if (answerLeftBytes > 0) {
      answerLeftBytes -= data.length();
      if (answerLeftBytes == 0) {
        answerEnded(data);
        return;
      }
    }
    answer.write(data);
    if (answer.writeQueueFull()) {
      response.pause();
      answer.drainHandler(ignored -> response.resume());
    }
  }

  /** Changes the headers of an answer that is passed on. */
  abstract void prepareAnswer(HttpServerResponse answer);

  /**
   * Ends the answer with its last data. An answer of stated length ends with its last byte: the
   * caller takes it for whole then, and a loss of the upstream connection before the end of the
   * stream must not cut the connection of the caller.
   */
  private void answerEnded(@Nullable Buffer last) {
    if (finish()) {
      if (last == null) {
        request.response().end();
      } else {
        request.response().end(last);
      }
      if (!body.hasEnded()) {
        // The target answered without reading the whole body, so the rest is not sent.
        abandonAttempt();
      }
      body.discard();
      ended(End.ANSWERED);
    }
  }

  /**
   * Cuts an answer that is not whole; the caller sees a broken connection, never a short answer.
   */
  private void cut(End end) {
    if (finish()) {
      abandonAttempt();
      request.response().reset();
      ended(end);
    }
  }

  /** Refuses the call with a status and its fate. */
  final void refuse(int status, boolean notRun, String reason) {
    if (!finish()) {
      return;
    }
    abandonAttempt();
    String outcome = notRun ? MeshHeaders.OUTCOME_NOT_RUN : MeshHeaders.OUTCOME_UNKNOWN;
    Refusals.refuse(request, status, outcome, reason);
    body.discard();
    ended(End.REFUSED);
  }

  private void refuseTooLarge() {
    counters.oversizedBodies.increment();
    refuse(TOO_LARGE, !sent && !mayHaveRunBefore(), "body is larger than the service allows");
  }

  private void deadlineReached() {
    timerId = -1;
    if (done) {
      return;
    }
    if (answering) {
      cut(End.ANSWER_LATE);
    } else {
      onDeadline(sent);
    }
  }

  private void callerGone() {
    if (finish()) {
      abandonAttempt();
      body.discard();
      ended(End.CALLER_GONE);
    }
  }

  private void ended(End end) {
    if (span != null) {
      span.end(request.response().getStatusCode(), end.name());
    }
    onEnd(end);
  }

  private boolean finish() {
    if (done) {
      return false;
    }
    done = true;
    if (timerId >= 0) {
      vertx.cancelTimer(timerId);
    }
    return true;
  }
}
