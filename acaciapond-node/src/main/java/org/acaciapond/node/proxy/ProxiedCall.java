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
import org.acaciapond.http.InvalidResponseException;
import org.jspecify.annotations.Nullable;

/**
 * Call that a proxy forwards, from its request to the end of its response; confined to the event
 * loop of the request.
 *
 * <p>Callbacks of a finished attempt are ignored, so a late response never reaches the caller.
 */
abstract class ProxiedCall {

  private static final int PAYLOAD_TOO_LARGE = 413;
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
  private boolean responseStarted;
  private long responseRemainingBytes = -1;
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
    request.exceptionHandler(error -> onCallerGone());
    request.response().exceptionHandler(error -> onCallerGone());
    request.response().closeHandler(ignored -> onCallerGone());
  }

  /** Starts the deadline timer and then the first attempt. */
  final void start(long maxBodyBytes) {
    if (contentLength() > maxBodyBytes) {
      refuseTooLarge();
      return;
    }
    long remainingMs = TimeUnit.NANOSECONDS.toMillis(remainingNanos());
    if (remainingMs <= 0) {
      onDeadline(false);
      return;
    }
    timerId = vertx.setTimer(remainingMs, id -> onDeadlineReached());
    if (request.headers().contains("expect")) {
      request.response().writeContinue();
    }
    body.whenReady(
        () -> {
          if (!done) {
            startAttempt();
          }
        });
  }

  private long contentLength() {
    String length = request.getHeader("content-length");
    try {
      return length == null ? 0 : Long.parseLong(length);
    } catch (NumberFormatException e) {
      return Long.MAX_VALUE;
    }
  }

  final long remainingNanos() {
    return deadlineNanos - time.nanoTime();
  }

  final boolean isDone() {
    return done;
  }

  /** Starts an attempt; first called when it is known whether the request has a body. */
  abstract void startAttempt();

  /** Returns whether a target may have run the call in an earlier attempt. */
  abstract boolean mayHaveRunBefore();

  /** Prepares the headers of an outgoing request. */
  abstract void prepareRequest(HttpClientRequest request);

  /** Handles a request whose connection became available after its attempt had ended. */
  void onUnusedRequest(HttpClientRequest unused) {}

  /** Handles the response headers; forwards the response or ends the attempt. */
  abstract void onResponse(HttpClientResponse response);

  /** Handles a failed or lost connection before the response headers. */
  abstract void onConnectionLost(boolean wasSent);

  /** Handles the deadline before a response is forwarded. */
  abstract void onDeadline(boolean wasSent);

  /** Handles the end of the call; called once. */
  abstract void onEnd(End end);

  /** End of a call, as recorded in its span. */
  enum End {
    ANSWERED,
    ANSWER_CUT,
    ANSWER_LATE,
    REFUSED,
    CALLER_GONE
  }

  /** Sends the request of an attempt when its connection is available. */
  final void send(io.vertx.core.Future<HttpClientRequest> connection) {
    int current = ++attempt;
    sent = false;
    connection.onComplete(result -> onConnected(current, result));
  }

  private void onConnected(int current, AsyncResult<HttpClientRequest> result) {
    if (done || current != attempt) {
      if (result.succeeded()) {
        result.result().exceptionHandler(error -> {});
        result.result().reset();
        onUnusedRequest(result.result());
      }
      return;
    }
    if (result.failed()) {
      onConnectionLost(false);
      return;
    }
    HttpClientRequest next = result.result();
    outgoing = next;
    sent = true;
    HopHeaders.copy(request.headers(), next.headers());
    prepareRequest(next);
    if (span != null) {
      span.inject(next.headers());
    }
    next.exceptionHandler(error -> {});
    next.response().onComplete(response -> onResponseResult(current, response));
    body.sendTo(next);
  }

  private void onResponseResult(int current, AsyncResult<HttpClientResponse> result) {
    if (done || current != attempt) {
      return;
    }
    if (result.succeeded()) {
      onResponse(result.result());
    } else {
      // The stream has ended. Resetting it while its connection fails makes Vert.x fail the next
      // stream recursively, which overflows the stack with many calls in flight.
      outgoing = null;
      countIfInvalid(result.cause());
      onConnectionLost(true);
    }
  }

  private void countIfInvalid(Throwable error) {
    if (error instanceof InvalidResponseException) {
      counters.invalidResponses.increment();
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

  /** Ends the attempt of a response that is not forwarded; its stream ends by itself. */
  final void discardResponse(HttpClientResponse response) {
    attempt++;
    body.detach();
    outgoing = null;
    response.resume();
  }

  /** Streams a response to the caller with back-pressure. */
  final void forward(HttpClientResponse response) {
    responseStarted = true;
    HttpServerResponse callerResponse = request.response();
    callerResponse.setStatusCode(response.statusCode());
    HopHeaders.copy(response.headers(), callerResponse.headers());
    prepareResponse(callerResponse);
    if (!response.headers().contains("content-length") && mayHaveBody(response)) {
      callerResponse.setChunked(true);
    }
    response.exceptionHandler(this::onResponseFailed);
    responseRemainingBytes = responseLength(response);
    response.endHandler(ignored -> endResponse(null));
    response.handler(data -> forwardData(response, callerResponse, data));
  }

  private void onResponseFailed(Throwable error) {
    if (!done) {
      countIfInvalid(error);
      abortResponse(End.ANSWER_CUT);
    }
  }

  private boolean mayHaveBody(HttpClientResponse response) {
    int status = response.statusCode();
    return request.method() != HttpMethod.HEAD && status != NO_CONTENT && status != NOT_MODIFIED;
  }

  /** Returns the content length of a response body, or -1 if it is unknown. */
  private long responseLength(HttpClientResponse response) {
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

  private void forwardData(
      HttpClientResponse response, HttpServerResponse callerResponse, Buffer data) {
    if (done) {
      return;
    }
    if (responseRemainingBytes > 0) {
      responseRemainingBytes -= data.length();
      if (responseRemainingBytes == 0) {
        endResponse(data);
        return;
      }
    }
    callerResponse.write(data);
    if (callerResponse.writeQueueFull()) {
      response.pause();
      callerResponse.drainHandler(ignored -> response.resume());
    }
  }

  /** Adjusts the headers of a forwarded response. */
  abstract void prepareResponse(HttpServerResponse callerResponse);

  /**
   * Ends the response with its last data. A response with a content length ends with its last byte:
   * the caller then considers it complete, so a loss of the upstream connection before the end of
   * the stream must not close the connection of the caller.
   */
  private void endResponse(@Nullable Buffer last) {
    if (tryFinish()) {
      if (last == null) {
        request.response().end();
      } else {
        request.response().end(last);
      }
      if (!body.hasEnded()) {
        // The target responded before it read the whole body, so the rest is not sent.
        abandonAttempt();
      }
      body.discard();
      onCallFinished(End.ANSWERED);
    }
  }

  /**
   * Aborts an incomplete response, so that the caller sees a reset instead of a truncated response.
   */
  private void abortResponse(End end) {
    if (tryFinish()) {
      abandonAttempt();
      request.response().reset();
      onCallFinished(end);
    }
  }

  /** Refuses the call with a status, its outcome and a reason. */
  final void refuse(int status, boolean notRun, String reason) {
    if (!tryFinish()) {
      return;
    }
    abandonAttempt();
    String outcome = notRun ? MeshHeaders.OUTCOME_NOT_RUN : MeshHeaders.OUTCOME_UNKNOWN;
    Refusals.refuse(request, status, outcome, reason);
    body.discard();
    onCallFinished(End.REFUSED);
  }

  private void refuseTooLarge() {
    counters.oversizedBodies.increment();
    refuse(
        PAYLOAD_TOO_LARGE, !sent && !mayHaveRunBefore(), "body is larger than the service allows");
  }

  private void onDeadlineReached() {
    timerId = -1;
    if (done) {
      return;
    }
    if (responseStarted) {
      abortResponse(End.ANSWER_LATE);
    } else {
      onDeadline(sent);
    }
  }

  private void onCallerGone() {
    if (tryFinish()) {
      abandonAttempt();
      body.discard();
      onCallFinished(End.CALLER_GONE);
    }
  }

  private void onCallFinished(End end) {
    if (span != null) {
      span.end(request.response().getStatusCode(), end.name());
    }
    onEnd(end);
  }

  private boolean tryFinish() {
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
