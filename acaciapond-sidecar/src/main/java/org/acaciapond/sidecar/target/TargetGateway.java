package org.acaciapond.sidecar.target;

import io.vertx.core.Vertx;
import java.util.function.Consumer;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.http.ClientConnection;
import org.acaciapond.http.HttpResponse;
import org.acaciapond.mesh.admission.AdmissionQueue;
import org.acaciapond.mesh.admission.AdmissionResult;
import org.acaciapond.mesh.admission.CallClass;
import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.call.MeshResponse;
import org.acaciapond.mesh.call.Outcome;
import org.acaciapond.mesh.call.Reason;
import org.acaciapond.mesh.platform.CallHeaders;
import org.acaciapond.mesh.platform.SidecarSettings;
import org.acaciapond.mesh.target.CheckIn;
import org.acaciapond.mesh.target.TargetLifecycle;
import org.acaciapond.mesh.target.TargetLoad;
import org.acaciapond.mesh.target.TargetPhase;
import org.acaciapond.mesh.target.TargetStatus;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;
import org.jspecify.annotations.Nullable;

/**
 * The only way to the target beside the node. It alone decides what reaches the target, so what the
 * target announced to this node holds whatever other nodes believe.
 */
public final class TargetGateway {

  private static final int DEADLINE_GRACE_MS = 100;
  private static final int CLOSED_RETRY_AFTER_MS = 100;
  private static final int SWEEP_INTERVAL_MS = 1_000;

  private final Vertx vertx;
  private final TargetLog log;
  private final NodeMetrics metrics;
  private final TimeSource time;
  private final String service;
  private final TargetLifecycle lifecycle = new TargetLifecycle();
  private final TargetHealth health = new TargetHealth();
  private final AdmissionQueue<GatewayCall> queue = new AdmissionQueue<>(health.times());
  private final TargetConnections connections;
  private final TargetExchange exchange;
  private Consumer<TargetStatus> onStatus = status -> {};
  private boolean nodeLeaving;
  private boolean settled;
  private long statusNumber;

  /** One call at the door. */
  public final class GatewayCall {
    private final MeshCall call;
    private final Consumer<MeshResponse> done;
    private final long deadlineNanos;
    private final boolean repeatable;
    private @Nullable ClientConnection connection;
    private long sentNanos;
    private boolean running;
    private boolean ended;
    private long timer = -1;

    GatewayCall(MeshCall call, Consumer<MeshResponse> done, long deadlineNanos) {
      this.call = call;
      this.done = done;
      this.deadlineNanos = deadlineNanos;
      this.repeatable = call.repeatable();
    }

    /** Gives the call up: it leaves the queue, or its connection to the target is closed. */
    public void cancel() {
      if (ended) {
        return;
      }
      if (!running) {
        queue.cancel(this);
        end(MeshResponse.without(Outcome.REFUSED, Reason.CANCELLED, 0, load()));
        return;
      }
      ClientConnection used = connection;
      if (used != null) {
        used.abandon();
      }
      end(MeshResponse.without(Outcome.UNKNOWN, Reason.CANCELLED, 0, load()));
    }

    private void end(MeshResponse reply) {
      if (ended) {
        return;
      }
      ended = true;
      vertx.cancelTimer(timer);
      if (running) {
        running = false;
        health.ended(call);
        apply(queue.release(time.nanoTime()));
      }
      done.accept(reply);
    }
  }

  /** Creates a door that is shut until the target checks in. */
  public TargetGateway(
      Vertx vertx,
      SidecarSettings settings,
      CallHeaders names,
      EventLog log,
      NodeMetrics metrics,
      TimeSource time) {
    this.vertx = vertx;
    this.log = new TargetLog(log);
    this.metrics = metrics;
    this.time = time;
    this.service = settings.service();
    this.connections = new TargetConnections(vertx, settings.target(), metrics, time);
    this.exchange = new TargetExchange(names);
    vertx.setPeriodic(SWEEP_INTERVAL_MS, id -> connections.sweep());
  }

  /** Sets who is told of changes of the target's status. */
  public void onStatus(Consumer<TargetStatus> listener) {
    onStatus = listener;
  }

  /** Applies a check-in of the target. */
  public void checkIn(CheckIn checkIn) {
    if (!checkIn.service().equals(service)) {
      metrics.checkIn("other_service");
      log.otherService(checkIn);
      return;
    }
    final CheckIn before = lifecycle.latest();
    final TargetPhase phaseBefore = lifecycle.phase();
    boolean changed = lifecycle.accept(checkIn);
    metrics.checkIn(changed ? "changed" : "same");
    if (!changed) {
      return;
    }
    CheckIn held = lifecycle.latest();
    if (held == null) {
      return;
    }
    if (before == null || before.bornMs() != held.bornMs()) {
      connections.closeIdle();
      health.clear();
    }
    log.status(held, phaseBefore, lifecycle.phase());
    statusChanged();
  }

  /** Applies a deregistration of the target. */
  public void leave(String id, long bornMs) {
    boolean changed = lifecycle.deregister(id, bornMs, time.now().toEpochMilli());
    metrics.checkIn("leave");
    log.left(id, bornMs, changed);
    if (changed) {
      statusChanged();
    }
  }

  /** Applies what another node remembers of the target from before this node's start. */
  public void recall(TargetStatus remembered) {
    boolean changed = lifecycle.recall(remembered.id(), remembered.bornMs(), remembered.phase());
    log.recalled(remembered.id(), remembered.phase(), changed);
    if (changed) {
      statusChanged();
    }
  }

  /** Opens the door: from now on what the target says of itself counts. */
  public void settle() {
    if (!settled) {
      settled = true;
      log.settled(lifecycle.phase());
      statusChanged();
    }
  }

  /** Tells the others that this node shuts down. */
  public void nodeLeaves() {
    nodeLeaving = true;
    statusChanged();
  }

  private void statusChanged() {
    statusNumber++;
    CheckIn held = lifecycle.latest();
    boolean open = settled && lifecycle.phase() == TargetPhase.READY && held != null;
    queue.setSlots(open && held != null ? held.slots() : 0);
    if (open) {
      apply(queue.startWaiting(time.nanoTime()));
    } else {
      refuseQueue();
    }
    onStatus.accept(status());
  }

  private void refuseQueue() {
    for (GatewayCall waiting : queue.drainQueue()) {
      waiting.end(refused(Reason.CLOSED, CLOSED_RETRY_AFTER_MS));
    }
  }

  /** Returns the status for other nodes. */
  public TargetStatus status() {
    CheckIn held = lifecycle.latest();
    if (held == null || !settled) {
      return new TargetStatus(
          "", 0, service, "", TargetPhase.UNKNOWN, 0, 0, nodeLeaving, statusNumber);
    }
    return new TargetStatus(
        held.id(),
        held.bornMs(),
        service,
        held.version(),
        lifecycle.phase(),
        held.slots(),
        held.coldMs(),
        nodeLeaving,
        statusNumber);
  }

  /** Returns the present load. */
  public TargetLoad load() {
    return health.load(queue.running(), queue.queued(), queue.urgentQueued(), time.nanoTime());
  }

  /** Returns the call of an id that runs in the target, or null. */
  public @Nullable MeshCall running(String callId) {
    return health.running(callId);
  }

  /** Returns the calls that run or wait. */
  public int pending() {
    return queue.running() + queue.queued();
  }

  /** Takes a call; its reply follows exactly once, maybe at once. */
  public GatewayCall call(MeshCall call, Consumer<MeshResponse> done) {
    long nowNanos = time.nanoTime();
    long deadlineNanos = nowNanos + call.leftMs() * 1_000_000L;
    GatewayCall doorCall = new GatewayCall(call, done, deadlineNanos);
    Reason closed = closedReason(call);
    if (closed != null) {
      doorCall.end(refused(closed, CLOSED_RETRY_AFTER_MS));
      return doorCall;
    }
    if (call.leftMs() <= 0) {
      doorCall.end(refused(Reason.EXPIRED, 0));
      return doorCall;
    }
    doorCall.timer = vertx.setTimer(call.leftMs() + DEADLINE_GRACE_MS, id -> expire(doorCall));
    CallClass type =
        new CallClass(
            call.route(),
            call.rank(),
            nowNanos + call.objectiveLeftMs() * 1_000_000L,
            deadlineNanos);
    AdmissionResult<GatewayCall> offer = queue.offer(doorCall, type, nowNanos);
    for (GatewayCall evicted : offer.evicted()) {
      evicted.end(refused(Reason.FULL, queue.retryAfterMs()));
    }
    switch (offer.decision()) {
      case RUN -> run(doorCall);
      case REFUSE -> doorCall.end(refused(Reason.FULL, offer.retryAfterMs()));
      default -> {
        // A waiting call ends when a slot is freed, at its deadline or when it is cancelled.
      }
    }
    return doorCall;
  }

  private @Nullable Reason closedReason(MeshCall call) {
    CheckIn held = lifecycle.latest();
    if (!settled || held == null || lifecycle.phase() != TargetPhase.READY) {
      return Reason.CLOSED;
    }
    return held.id().equals(call.targetId()) ? null : Reason.OTHER_TARGET;
  }

  private void expire(GatewayCall call) {
    if (!call.running) {
      queue.cancel(call);
      call.end(refused(Reason.EXPIRED, 0));
      return;
    }
    ClientConnection used = call.connection;
    if (used != null) {
      used.abandon();
    }
    call.end(MeshResponse.without(Outcome.UNKNOWN, Reason.EXPIRED, 0, load()));
  }

  private void apply(AdmissionQueue.Released<GatewayCall> released) {
    for (GatewayCall refused : released.refused()) {
      refused.end(refused(Reason.EXPIRED, 0));
    }
    for (GatewayCall next : released.run()) {
      run(next);
    }
  }

  private MeshResponse refused(Reason reason, int retryAfterMs) {
    return MeshResponse.without(Outcome.REFUSED, reason, retryAfterMs, load());
  }

  private void run(GatewayCall call) {
    call.running = true;
    connections.take(
        call.repeatable,
        connection -> send(call, connection),
        error -> {
          health.failed();
          log.unreachable(call.call, error);
          call.end(refused(Reason.UNREACHABLE, CLOSED_RETRY_AFTER_MS));
        });
  }

  private void send(GatewayCall doorCall, ClientConnection connection) {
    long nowNanos = time.nanoTime();
    int leftMs = (int) ((doorCall.deadlineNanos - nowNanos) / 1_000_000);
    if (doorCall.ended || leftMs <= 0) {
      connections.put(connection);
      doorCall.end(refused(Reason.EXPIRED, 0));
      return;
    }
    Reason closed = closedReason(doorCall.call);
    if (closed != null) {
      connections.put(connection);
      doorCall.end(refused(closed, CLOSED_RETRY_AFTER_MS));
      return;
    }
    MeshCall call = doorCall.call;
    doorCall.connection = connection;
    doorCall.sentNanos = nowNanos;
    health.sent(call, nowNanos);
    connection.send(
        exchange.request(call, leftMs),
        new ClientConnection.Listener() {
          @Override
          public void answered(HttpResponse answer) {
            connections.put(connection);
            onAnswer(doorCall, answer);
          }

          @Override
          public void failed(boolean badAnswer, String message) {
            onFailure(doorCall, badAnswer, message);
          }
        });
  }

  private void onAnswer(GatewayCall doorCall, HttpResponse answer) {
    long runNanos = time.nanoTime() - doorCall.sentNanos;
    MeshCall call = doorCall.call;
    switch (exchange.meaning(answer)) {
      case NOT_RUN -> {
        health.failed();
        metrics.targetTime("not_run", runNanos);
        log.refused(call, answer.status());
        doorCall.end(
            MeshResponse.without(
                Outcome.NOT_RUN, Reason.TURNED_AWAY, queue.retryAfterMs(), load()));
      }
      case BAD -> {
        health.failed();
        log.badAnswer(call, answer.status());
        doorCall.end(MeshResponse.without(Outcome.UNKNOWN, Reason.BAD_ANSWER, 0, load()));
      }
      default -> {
        health.answered(call, answer.status(), runNanos);
        metrics.targetTime(answer.status() < 300 ? "ok" : "status_" + answer.status(), runNanos);
        doorCall.end(exchange.reply(answer, runNanos, load()));
      }
    }
  }

  private void onFailure(GatewayCall doorCall, boolean badAnswer, String message) {
    if (doorCall.ended) {
      return;
    }
    health.failed();
    long runNanos = time.nanoTime() - doorCall.sentNanos;
    metrics.targetTime("broken", runNanos);
    log.broke(doorCall.call, runNanos, badAnswer, message);
    doorCall.end(
        MeshResponse.without(
            Outcome.UNKNOWN, badAnswer ? Reason.BAD_ANSWER : Reason.BROKEN, 0, load()));
  }
}
