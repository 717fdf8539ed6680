package org.acaciapond.node.proxy;

import io.vertx.core.Context;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.acaciapond.node.membership.LocalTarget;
import org.acaciapond.routing.admission.AdmissionController;
import org.acaciapond.routing.admission.Refusal;
import org.jspecify.annotations.Nullable;

/** Call from a node of the mesh to the local target. */
final class InboundCall extends ProxiedCall {

  private static final int TOO_MANY_REQUESTS = 429;
  private static final int BAD_GATEWAY = 502;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;

  private final InboundContext context;
  private final TargetPool.Lease lease;
  private final TargetResponses responses;
  private final String exchangeId;
  private final String service;
  private final LocalTarget.Announcement target;
  private final Context eventLoop;
  private AdmissionController.@Nullable QueuedCall queuedCall;
  private boolean holdsSlot;
  private boolean overloaded;
  private boolean connectionReusable;
  private long sentNanos;

  InboundCall(
      InboundContext context,
      TargetPool.Lease lease,
      TargetResponses responses,
      HttpServerRequest request,
      String service,
      LocalTarget.Announcement target,
      long maxBodyBytes,
      long deadlineNanos) {
    super(
        context.vertx(),
        context.time(),
        request,
        maxBodyBytes,
        deadlineNanos,
        context.counters(),
        context.tracer().start("inbound", request.headers()));
    this.context = context;
    this.lease = lease;
    this.responses = responses;
    this.exchangeId = responses.nextExchangeId();
    this.service = service;
    this.target = target;
    this.eventLoop = context.vertx().getOrCreateContext();
  }

  @Override
  void startAttempt() {
    if (!context.options().admission() || context.admission().tryAdmit()) {
      onAdmitted();
      return;
    }
    Refusal refusal = context.admission().checkRefusal(deadlineNanos);
    if (refusal == null) {
      queuedCall =
          context.admission().enqueue(() -> eventLoop.runOnContext(ignored -> onAdmitted()));
    } else {
      refuse(SERVICE_UNAVAILABLE, true, "refused by admission: " + refusal);
    }
  }

  private void onAdmitted() {
    queuedCall = null;
    sentNanos = time.nanoTime();
    if (isDone()) {
      // The call ended after its admission, before this event loop ran.
      context.admission().releaseUnused();
      return;
    }
    holdsSlot = true;
    send(
        lease.client.request(
            new RequestOptions()
                .setServer(SocketAddress.inetSocketAddress(target.port(), "127.0.0.1"))
                .setHost(service)
                .setPort(target.port())
                .setMethod(request.method())
                .setURI(request.uri())));
  }

  private void releaseSlot() {
    if (context.options().admission()) {
      context.admission().release(time.nanoTime() - sentNanos, overloaded);
    }
  }

  @Override
  void prepareRequest(HttpClientRequest outgoing) {
    long remainingMs = Math.max(0, TimeUnit.NANOSECONDS.toMillis(remainingNanos()));
    outgoing.putHeader(MeshHeaders.DEADLINE_MS, Long.toString(remainingMs));
    outgoing.putHeader(MeshHeaders.EXCHANGE_ID, exchangeId);
    connectionReusable = responses.mayReuseConnection(target);
    if (!connectionReusable) {
      outgoing.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
    }
  }

  @Override
  boolean mayHaveRunBefore() {
    return false;
  }

  @Override
  void onResponse(HttpClientResponse response) {
    if (!responses.accept(target, exchangeId, connectionReusable, response)) {
      context.counters().mismatchedResponses.increment();
      response.exceptionHandler(error -> {});
      refuse(BAD_GATEWAY, false, "the response of the target belongs to another call");
      return;
    }
    int status = response.statusCode();
    overloaded = status == SERVICE_UNAVAILABLE || status == TOO_MANY_REQUESTS;
    forward(response);
  }

  @Override
  void prepareResponse(HttpServerResponse callerResponse) {
    String downstreamOutcome = callerResponse.headers().get(MeshHeaders.OUTCOME);
    if (downstreamOutcome != null) {
      callerResponse.headers().remove(MeshHeaders.OUTCOME);
      callerResponse.putHeader(MeshHeaders.DOWNSTREAM_OUTCOME, downstreamOutcome);
    }
    callerResponse.putHeader(MeshHeaders.VERSION, target.version());
    callerResponse.headers().remove(MeshHeaders.TARGET_TIME_US);
    callerResponse.headers().remove(MeshHeaders.EXCHANGE_ID);
    if (context.warmup().recordCall(target)) {
      long targetTimeUs = TimeUnit.NANOSECONDS.toMicros(time.nanoTime() - sentNanos);
      callerResponse.putHeader(MeshHeaders.TARGET_TIME_US, Long.toString(targetTimeUs));
    }
  }

  @Override
  void onConnectionLost(boolean wasSent) {
    overloaded = true;
    if (wasSent) {
      refuse(BAD_GATEWAY, false, "no answer of the target");
    } else {
      refuse(SERVICE_UNAVAILABLE, true, "the target accepts no connection");
    }
  }

  @Override
  void onDeadline(boolean wasSent) {
    // A queued call must leave the queue before it may be refused as not run.
    AdmissionController.QueuedCall stillQueued = queuedCall;
    if (stillQueued != null) {
      stillQueued.cancel();
    }
    overloaded = wasSent;
    refuse(GATEWAY_TIMEOUT, !wasSent, "the deadline passed");
  }

  @Override
  void onEnd(End end) {
    AdmissionController.QueuedCall stillQueued = queuedCall;
    if (stillQueued != null) {
      // If the call was admitted in the meantime, onAdmitted() frees the slot on this event loop.
      stillQueued.cancel();
    }
    if (holdsSlot) {
      holdsSlot = false;
      overloaded |= end == End.ANSWER_CUT || end == End.ANSWER_LATE;
      releaseSlot();
    }
    lease.release();
    context.drain().onCallEnded();
  }
}
