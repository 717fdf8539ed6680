package org.acaciapond.node.proxy;

import io.vertx.core.Context;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.acaciapond.node.membership.LocalTarget;
import org.acaciapond.routing.admission.AdmissionController;
import org.acaciapond.routing.admission.Refusal;
import org.jspecify.annotations.Nullable;

/** Call of another node or an outside caller to the own target. */
final class InboundCall extends ProxiedCall {

  private static final int TOO_MANY = 429;
  private static final int BAD_GATEWAY = 502;
  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;

  private final InboundContext context;
  private final TargetPool.Lease pool;
  private final String service;
  private final LocalTarget.Announcement target;
  private final Context loop;
  private AdmissionController.@Nullable QueuedCall waiting;
  private boolean holdsSlot;
  private boolean overloaded;
  private long handedOverNanos;

  InboundCall(
      InboundContext context,
      TargetPool.Lease pool,
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
    this.pool = pool;
    this.service = service;
    this.target = target;
    this.loop = context.vertx().getOrCreateContext();
  }

  @Override
  void begin() {
    if (!context.options().admission() || context.admission().tryAdmit()) {
      admitted();
      return;
    }
    Refusal refusal = context.admission().checkRefusal(deadlineNanos);
    if (refusal == null) {
      waiting = context.admission().enqueue(() -> loop.runOnContext(ignored -> admitted()));
    } else {
      refuse(UNAVAILABLE, true, "refused by admission: " + refusal);
    }
  }

  private void admitted() {
    waiting = null;
    handedOverNanos = time.nanoTime();
    if (isDone()) {
      // The caller went away between the admission and this event loop.
      context.admission().releaseUnused();
      return;
    }
    holdsSlot = true;
    send(
        pool.client.request(
            new RequestOptions()
                .setServer(SocketAddress.inetSocketAddress(target.port(), "127.0.0.1"))
                .setHost(service)
                .setPort(target.port())
                .setMethod(request.method())
                .setURI(request.uri())));
  }

  private void releaseSlot() {
    if (context.options().admission()) {
      context.admission().release(time.nanoTime() - handedOverNanos, overloaded);
    }
  }

  @Override
  void prepare(HttpClientRequest outgoing) {
    long leftMs = Math.max(0, TimeUnit.NANOSECONDS.toMillis(leftNanos()));
    outgoing.putHeader(MeshHeaders.DEADLINE_MS, Long.toString(leftMs));
  }

  @Override
  boolean mayHaveRunBefore() {
    return false;
  }

  @Override
  void onAnswer(HttpClientResponse response) {
    int status = response.statusCode();
    overloaded = status == UNAVAILABLE || status == TOO_MANY;
    passOn(response);
  }

  @Override
  void prepareAnswer(HttpServerResponse answer) {
    String deeper = answer.headers().get(MeshHeaders.OUTCOME);
    if (deeper != null) {
      answer.headers().remove(MeshHeaders.OUTCOME);
      answer.putHeader(MeshHeaders.DEEPER_OUTCOME, deeper);
    }
    answer.putHeader(MeshHeaders.VERSION, target.version());
    answer.headers().remove(MeshHeaders.TARGET_TIME_US);
    if (context.warmth().countCall(target)) {
      long targetTimeUs = TimeUnit.NANOSECONDS.toMicros(time.nanoTime() - handedOverNanos);
      answer.putHeader(MeshHeaders.TARGET_TIME_US, Long.toString(targetTimeUs));
    }
  }

  @Override
  void onLost(boolean wasSent) {
    overloaded = true;
    if (wasSent) {
      refuse(BAD_GATEWAY, false, "no answer of the target");
    } else {
      refuse(UNAVAILABLE, true, "the target accepts no connection");
    }
  }

  @Override
  void onDeadline(boolean wasSent) {
    // A call that waits for its slot must give up the place before it may be refused as not run.
    AdmissionController.QueuedCall current = waiting;
    if (current != null) {
      current.cancel();
    }
    overloaded = wasSent;
    refuse(GATEWAY_TIMEOUT, !wasSent, "the deadline passed");
  }

  @Override
  void onEnd(End end) {
    AdmissionController.QueuedCall current = waiting;
    if (current != null) {
      // When it was admitted meanwhile, the slot is freed on arrival at this event loop.
      current.cancel();
    }
    if (holdsSlot) {
      holdsSlot = false;
      overloaded |= end == End.ANSWER_CUT || end == End.ANSWER_LATE;
      releaseSlot();
    }
    pool.release();
    context.drain().exit();
  }
}
