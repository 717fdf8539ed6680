package org.acaciapond.sidecar.target;

import io.vertx.core.Vertx;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.http.ClientConnection;
import org.acaciapond.http.HttpResponse;
import org.acaciapond.http.MemoryAccount;
import org.acaciapond.mesh.admission.AdmissionQueue;
import org.acaciapond.mesh.admission.AdmissionResult;
import org.acaciapond.mesh.admission.CallClass;
import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.call.MeshResponse;
import org.acaciapond.mesh.call.OpenCall;
import org.acaciapond.mesh.call.Outcome;
import org.acaciapond.mesh.call.Reason;
import org.acaciapond.mesh.pace.CallEnd;
import org.acaciapond.mesh.pace.CapacityReport;
import org.acaciapond.mesh.pace.ColdBounds;
import org.acaciapond.mesh.pace.PaceState;
import org.acaciapond.mesh.pace.PacedCall;
import org.acaciapond.mesh.pace.TargetPacer;
import org.acaciapond.mesh.platform.CallHeaders;
import org.acaciapond.mesh.platform.SidecarSettings;
import org.acaciapond.mesh.target.CheckIn;
import org.acaciapond.mesh.target.TargetDeparture;
import org.acaciapond.mesh.target.TargetLifecycle;
import org.acaciapond.mesh.target.TargetLoad;
import org.acaciapond.mesh.target.TargetPhase;
import org.acaciapond.mesh.target.TargetStatus;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;
import org.jspecify.annotations.Nullable;

/**
 * Gateway through which all calls reach the local target. It alone admits calls, so the status that
 * the target reported to this node applies even if other nodes have an older one.
 */
public final class TargetGateway {

  private static final long NO_TIMER = -1;
  private static final long DEADLINE_GRACE_NANOS = 100_000_000L;
  private static final int CLOSED_RETRY_AFTER_MS = 100;
  private static final int CLOSE_EXPIRED_INTERVAL_MS = 1_000;
  private static final int RECENT_CALL_IDS = 4_096;
  private static final int PACE_CHECK_INTERVAL_MS = 100;
  private static final int STUCK_RETRY_AFTER_MS = 200;

  private final Vertx vertx;
  private final TargetLog log;
  private final NodeMetrics metrics;
  private final TimeSource time;
  private final String service;
  private final TargetLifecycle lifecycle = new TargetLifecycle();
  private final TargetHealth health = new TargetHealth();
  private final TargetPacer pacer;
  private final AdmissionQueue<GatewayCall> queue;
  private final CapacityReport capacityReport;
  private final Set<GatewayCall> sentCalls = new LinkedHashSet<>();
  private final TargetConnections connections;
  private final TargetExchange exchange;
  private final RecentRuns recentRuns = new RecentRuns(RECENT_CALL_IDS);
  private final TargetDiagnostics diagnostics;
  private Consumer<TargetStatus> statusListener = status -> {};
  private boolean nodeLeaving;
  private boolean admissionStarted;
  private boolean evacuated;
  private long statusNumber;
  private int announcedCalls;
  private PaceState loggedPaceState = PaceState.OPEN;
  private long pacedStartTimer = NO_TIMER;

  /** One call that is queued for the target or runs in it. */
  public final class GatewayCall implements OpenCall {
    private final MeshCall call;
    private final Consumer<MeshResponse> handler;
    private final long deadlineNanos;
    private final boolean idempotent;
    private @Nullable TargetConnection connection;
    private @Nullable CallRun run;
    private long latestStartNanos;
    private @Nullable PacedCall pacedCall;
    private long sentNanos;
    private boolean running;
    private boolean ended;
    private long timer = NO_TIMER;

    GatewayCall(MeshCall call, Consumer<MeshResponse> handler, long deadlineNanos) {
      this.call = call;
      this.handler = handler;
      this.deadlineNanos = deadlineNanos;
      this.idempotent = call.idempotent();
    }

    /** Cancels the call: removes it from the queue, or closes its connection to the target. */
    @Override
    public void cancel() {
      if (ended) {
        return;
      }
      if (!running) {
        queue.cancel(this);
      }
      end(Reason.CANCELLED);
    }

    // A call that has a slot but is not sent yet, as its connection is still being established, has
    // not run and is not sent any more.
    private void end(Reason reason) {
      TargetConnection used = connection;
      if (used != null) {
        used.abandon();
      }
      Outcome outcome = run == null ? Outcome.REFUSED : Outcome.UNKNOWN;
      complete(MeshResponse.withoutAnswer(outcome, reason, 0, load()));
    }

    @Override
    public boolean mayHaveRun() {
      return run != null;
    }

    private void endAt(long nanos) {
      vertx.cancelTimer(timer);
      long leftMs = Math.max(1, (nanos - time.nanoTime()) / 1_000_000);
      timer = vertx.setTimer(leftMs, id -> expire(this));
    }

    private void complete(MeshResponse response) {
      if (ended) {
        return;
      }
      ended = true;
      vertx.cancelTimer(timer);
      CallRun sent = run;
      if (sent != null) {
        diagnostics.recordEnded(call, sent, response);
      }
      if (running) {
        running = false;
        sentCalls.remove(this);
        health.recordEnded(call);
        recordEnd(CallEnd.ABANDONED);
        applyPace();
        applyReleased(queue.release(call.route(), time.nanoTime()));
        schedulePacedStart();
      }
      handler.accept(response);
    }

    /** Records the end of the call as evidence, unless it was recorded before. */
    private void recordEnd(CallEnd end) {
      PacedCall sent = pacedCall;
      if (sent != null) {
        pacer.callEnded(sent, end, time.nanoTime());
      }
    }
  }

  /**
   * Creates a gateway that refuses calls until {@link #startAdmission} and the first check-in.
   *
   * @param coldRequestsPerS rate that the service's cold targets tolerate, 0 if any, negative while
   *     it is not known
   * @param memory account in which the bodies of responses are reserved
   */
  public TargetGateway(
      Vertx vertx,
      SidecarSettings settings,
      CallHeaders headerNames,
      DoubleSupplier coldRequestsPerS,
      MemoryAccount memory,
      EventLog log,
      NodeMetrics metrics,
      TimeSource time) {
    this.vertx = vertx;
    this.log = new TargetLog(log);
    this.metrics = metrics;
    this.time = time;
    this.service = settings.service();
    SidecarSettings.Bounds bounds = settings.bounds();
    this.pacer =
        new TargetPacer(
            new ColdBounds(bounds.coldOverFactor(), bounds.coldSlack()),
            coldRequestsPerS,
            time.nanoTime());
    this.queue = new AdmissionQueue<>(health.serviceTimes(), pacer);
    this.capacityReport = new CapacityReport(time.nanoTime());
    this.exchange = new TargetExchange(headerNames);
    this.diagnostics = new TargetDiagnostics(exchange, recentRuns, this.log, metrics, time);
    this.connections =
        new TargetConnections(
            vertx,
            settings.target(),
            metrics,
            RECENT_CALL_IDS,
            memory,
            diagnostics::recordUnexpected,
            time);
    vertx.setPeriodic(CLOSE_EXPIRED_INTERVAL_MS, id -> connections.closeExpired());
    vertx.setPeriodic(PACE_CHECK_INTERVAL_MS, id -> checkPace());
  }

  /** Sets the listener for changes of the target's status. */
  public void setStatusListener(Consumer<TargetStatus> listener) {
    statusListener = listener;
  }

  /**
   * Applies a check-in of the target.
   *
   * @return the departure that the check-in announces, which has to be stored before the check-in
   *     is confirmed; null if it announces none
   */
  public @Nullable TargetDeparture applyCheckIn(CheckIn checkIn) {
    if (!checkIn.service().equals(service)) {
      metrics.countCheckIn("other_service");
      log.checkInIgnored(checkIn);
      return null;
    }
    updateLifecycle(checkIn);
    return checkIn.draining()
        ? new TargetDeparture(checkIn.id(), checkIn.startedMs(), time.now().toEpochMilli())
        : null;
  }

  private void updateLifecycle(CheckIn checkIn) {
    final CheckIn previous = lifecycle.latest();
    final TargetPhase previousPhase = lifecycle.phase();
    boolean changed = lifecycle.accept(checkIn);
    metrics.countCheckIn(changed ? "changed" : "same");
    if (!changed) {
      return;
    }
    CheckIn current = lifecycle.latest();
    if (current == null) {
      return;
    }
    if (previous == null || previous.startedMs() != current.startedMs()) {
      connections.closeIdle();
      health.clear();
      recentRuns.clear();
      pacer.targetStarted(current.slots(), current.coldMs(), time.nanoTime());
    } else {
      pacer.targetUpdated(current.slots(), current.coldMs(), time.nanoTime());
    }
    log.statusChanged(current, previousPhase, lifecycle.phase());
    applyStatusChange();
  }

  /**
   * Applies a deregistration of the target.
   *
   * @return the departure, which has to be stored before the deregistration is confirmed
   */
  public TargetDeparture deregister(String id, long startedMs) {
    long nowMs = time.now().toEpochMilli();
    boolean changed = lifecycle.deregister(id, startedMs, nowMs);
    metrics.countCheckIn("leave");
    log.deregistered(id, startedMs, changed);
    if (changed) {
      applyStatusChange();
    }
    return new TargetDeparture(id, lifecycle.startOf(id, startedMs), nowMs);
  }

  /** Applies a departure of the target that was stored before this node started. */
  public void restoreDeparture(TargetDeparture departure) {
    boolean changed = lifecycle.restoreDeparture(departure);
    log.statusRestored(departure.id(), TargetPhase.DRAINING, "store", changed);
    if (changed) {
      applyStatusChange();
    }
  }

  /** Applies the last status of the target that another node knew before this node started. */
  public void restoreStatus(TargetStatus lastKnown) {
    boolean changed =
        lifecycle.restorePhase(lastKnown.id(), lastKnown.startedMs(), lastKnown.phase());
    log.statusRestored(lastKnown.id(), lastKnown.phase(), "peer", changed);
    if (changed) {
      applyStatusChange();
    }
  }

  /**
   * Starts to admit calls by the target's own status. The node waits with it until peers had time
   * to send the last status of the target that they know.
   */
  public void startAdmission() {
    if (!admissionStarted) {
      admissionStarted = true;
      log.admissionStarted(lifecycle.phase());
      applyStatusChange();
    }
  }

  /** Announces to other nodes that this node shuts down. */
  public void announceNodeShutdown() {
    nodeLeaving = true;
    applyStatusChange();
  }

  /**
   * Sets whether the failure domain of the target is evacuated. Calls that run in the target end as
   * they began; queued and further ones are refused.
   */
  public void setEvacuated(boolean value) {
    if (evacuated != value) {
      evacuated = value;
      applyStatusChange();
    }
  }

  private void applyStatusChange() {
    applySlots();
    if (isAdmitting()) {
      startQueued();
    } else {
      refuseQueuedCalls(Reason.CLOSED, CLOSED_RETRY_AFTER_MS);
    }
    publishStatus();
  }

  private boolean isAdmitting() {
    return admissionStarted && !evacuated && lifecycle.phase() == TargetPhase.READY;
  }

  private void applySlots() {
    int limit = isAdmitting() ? pacer.limit(time.nanoTime()) : 0;
    queue.setSlots(limit);
    metrics.setTargetLimit(limit);
  }

  private void publishStatus() {
    statusNumber++;
    capacityReport.recordReported(pacer.state(), pacer.capacity(), time.nanoTime());
    statusListener.accept(status());
  }

  private void startQueued() {
    applyReleased(queue.startQueued(time.nanoTime()));
    schedulePacedStart();
  }

  // Calls that wait for the rate of a cold target are not started by the end of another call alone.
  private void schedulePacedStart() {
    long nowNanos = time.nanoTime();
    double delayUs = pacer.delayUs(0, nowNanos);
    if (queue.queued() == 0 || pacedStartTimer != NO_TIMER || delayUs <= 0) {
      return;
    }
    long delayMs = Math.max(1, (long) Math.ceil(delayUs / 1e3));
    pacedStartTimer =
        vertx.setTimer(
            delayMs,
            id -> {
              pacedStartTimer = NO_TIMER;
              startQueued();
            });
  }

  private void checkPace() {
    int overdue = pacer.checkOverdue(time.nanoTime());
    metrics.countOverdueCalls(overdue);
    for (int i = 0; i < overdue; i++) {
      health.recordFailure();
    }
    applyPace();
    if (pacer.isStuck()) {
      refuseQueuedCalls(Reason.UNREACHABLE, STUCK_RETRY_AFTER_MS);
      endOverdueIdempotentCalls();
    } else if (queue.queued() > 0) {
      startQueued();
    }
  }

  // Their callers have time left to send them to another target.
  private void endOverdueIdempotentCalls() {
    for (GatewayCall call : List.copyOf(sentCalls)) {
      PacedCall sent = call.pacedCall;
      if (call.idempotent && sent != null && sent.isOverdue()) {
        call.end(Reason.BROKEN);
      }
    }
  }

  private void applyPace() {
    applySlots();
    PaceState state = pacer.state();
    if (state != loggedPaceState) {
      log.paceChanged(
          loggedPaceState, state, pacer.limit(time.nanoTime()), queue.running(), queue.queued());
      loggedPaceState = state;
    }
    if (isAdmitting() && capacityReport.isDue(state, pacer.capacity(), time.nanoTime())) {
      publishStatus();
    }
  }

  private void refuseQueuedCalls(Reason reason, int retryAfterMs) {
    for (GatewayCall queued : queue.drainQueue()) {
      queued.complete(refusal(reason, retryAfterMs));
    }
  }

  /** Returns the status for other nodes. */
  public TargetStatus status() {
    CheckIn current = lifecycle.latest();
    if (current == null || !admissionStarted) {
      return new TargetStatus(
          "", 0, service, "", TargetPhase.UNKNOWN, 0, 0, nodeLeaving, statusNumber);
    }
    return new TargetStatus(
        current.id(),
        current.startedMs(),
        service,
        current.version(),
        lifecycle.phase(),
        pacer.capacity(),
        pacer.coldLeftMs(time.nanoTime()),
        nodeLeaving,
        statusNumber);
  }

  /** Returns the current load. */
  public TargetLoad load() {
    return health.load(
        queue.running(), queue.queued() + announcedCalls, queue.urgentQueued(), time.nanoTime());
  }

  /** Sets the number of accepted calls whose bodies are still on their way. */
  public void setAnnouncedCalls(int count) {
    announcedCalls = count;
  }

  /** Returns the call with this id that runs in the target, or null. */
  public @Nullable MeshCall findRunningCall(String callId) {
    return health.findRunning(callId);
  }

  /**
   * Records the end of a nested call that a call running in the target has made.
   *
   * @param parent the running call
   * @param congested whether the nested call was refused as its service is full, or its target has
   *     a long queue
   */
  public void recordNestedCall(MeshCall parent, boolean congested) {
    queue.recordNestedCall(parent.route(), congested, time.nanoTime());
    pacer.nestedCallEnded(parent.route(), time.nanoTime());
  }

  /** Records that a nested call failed, which a call running in the target has made. */
  public void recordNestedFailure(MeshCall parent) {
    health.recordNestedFailure(parent);
  }

  /** Returns the number of running and queued calls. */
  public int pendingCallCount() {
    return queue.running() + queue.queued() + announcedCalls;
  }

  /** Returns the refusal of a call that would be refused now, or null. */
  public @Nullable MeshResponse refusalNow(MeshCall call) {
    Reason refusalReason = refusalReason(call);
    if (refusalReason != null) {
      return refusal(refusalReason, CLOSED_RETRY_AFTER_MS);
    }
    if (call.leftMs() <= 0) {
      return refusal(Reason.EXPIRED, 0);
    }
    OptionalInt retryAfterMs = queue.refusal(callClass(call), time.nanoTime());
    return retryAfterMs.isPresent() ? refusal(Reason.FULL, retryAfterMs.getAsInt()) : null;
  }

  /** Returns the properties by which a call that arrives now is admitted. */
  public CallClass callClass(MeshCall call) {
    return callClass(call, time.nanoTime());
  }

  private static CallClass callClass(MeshCall call, long nowNanos) {
    return new CallClass(
        call.route(),
        call.rank(),
        nowNanos + call.objectiveLeftMs() * 1_000_000L,
        nowNanos + call.leftMs() * 1_000_000L,
        call.account());
  }

  /** Returns the latest time at which it is worth starting a call that arrives now. */
  public long latestStartNanos(MeshCall call) {
    return queue.latestStartNanos(callClass(call));
  }

  /** Returns the expected service time of a call in microseconds. */
  public double expectedServiceUs(MeshCall call) {
    return health.serviceTimes().expectedUs(call.route());
  }

  /**
   * Submits a call to the target.
   *
   * @param handler receives the response exactly once, possibly before this method returns
   */
  public GatewayCall submit(MeshCall call, Consumer<MeshResponse> handler) {
    long nowNanos = time.nanoTime();
    long deadlineNanos = nowNanos + call.leftMs() * 1_000_000L;
    GatewayCall gatewayCall = new GatewayCall(call, handler, deadlineNanos);
    Reason refusalReason = refusalReason(call);
    if (refusalReason != null) {
      gatewayCall.complete(refusal(refusalReason, CLOSED_RETRY_AFTER_MS));
      return gatewayCall;
    }
    if (call.leftMs() <= 0) {
      gatewayCall.complete(refusal(Reason.EXPIRED, 0));
      return gatewayCall;
    }
    if (pacer.isStuck() && !pacer.mayProbe(call.idempotent(), queue.running(), nowNanos)) {
      gatewayCall.complete(refusal(Reason.UNREACHABLE, STUCK_RETRY_AFTER_MS));
      return gatewayCall;
    }
    CallClass callClass = callClass(call, nowNanos);
    gatewayCall.latestStartNanos = queue.latestStartNanos(callClass);
    AdmissionResult<GatewayCall> result = queue.offer(gatewayCall, callClass, nowNanos);
    for (GatewayCall evicted : result.evicted()) {
      evicted.complete(refusal(Reason.FULL, queue.retryAfterMs()));
    }
    switch (result.decision()) {
      case RUN -> run(gatewayCall);
      case REFUSE -> gatewayCall.complete(refusal(Reason.FULL, result.retryAfterMs()));
      default -> {
        gatewayCall.endAt(gatewayCall.latestStartNanos);
        schedulePacedStart();
      }
    }
    return gatewayCall;
  }

  private @Nullable Reason refusalReason(MeshCall call) {
    CheckIn current = lifecycle.latest();
    if (evacuated
        || !admissionStarted
        || current == null
        || lifecycle.phase() != TargetPhase.READY) {
      return Reason.CLOSED;
    }
    return current.id().equals(call.targetId()) ? null : Reason.OTHER_TARGET;
  }

  private void expire(GatewayCall call) {
    if (!call.running) {
      queue.cancel(call);
    }
    call.end(Reason.EXPIRED);
  }

  private void applyReleased(AdmissionQueue.Released<GatewayCall> released) {
    for (GatewayCall refused : released.refused()) {
      refused.complete(refusal(Reason.EXPIRED, 0));
    }
    for (GatewayCall next : released.run()) {
      run(next);
    }
  }

  /** Returns the response to a call that is refused. */
  public MeshResponse refusal(Reason reason, int retryAfterMs) {
    return MeshResponse.withoutAnswer(Outcome.REFUSED, reason, retryAfterMs, load());
  }

  private void run(GatewayCall call) {
    call.running = true;
    connections.acquire(
        call.idempotent,
        recentRuns.contains(call.call.id()),
        connection -> send(call, connection),
        error -> {
          health.recordFailure();
          pacer.connectFailed(time.nanoTime());
          log.unreachable(call.call, error);
          call.complete(refusal(Reason.UNREACHABLE, CLOSED_RETRY_AFTER_MS));
        });
    if (call.run == null && !call.ended) {
      boolean late = time.nanoTime() - call.latestStartNanos >= 0;
      call.endAt(late ? call.deadlineNanos : call.latestStartNanos);
    }
  }

  private void send(GatewayCall gatewayCall, TargetConnection connection) {
    long nowNanos = time.nanoTime();
    int leftMs = (int) ((gatewayCall.deadlineNanos - nowNanos) / 1_000_000);
    if (gatewayCall.ended || leftMs <= 0) {
      connections.release(connection);
      gatewayCall.complete(refusal(Reason.EXPIRED, 0));
      return;
    }
    Reason refusalReason = refusalReason(gatewayCall.call);
    if (refusalReason != null) {
      connections.release(connection);
      gatewayCall.complete(refusal(refusalReason, CLOSED_RETRY_AFTER_MS));
      return;
    }
    if (!pacer.trySend(nowNanos)) {
      connections.release(connection);
      gatewayCall.complete(refusal(Reason.FULL, queue.retryAfterMs()));
      return;
    }
    MeshCall call = gatewayCall.call;
    gatewayCall.pacedCall = pacer.callSent(call.route(), nowNanos);
    sentCalls.add(gatewayCall);
    gatewayCall.connection = connection;
    gatewayCall.sentNanos = nowNanos;
    gatewayCall.run = diagnostics.recordSent(call, connection);
    gatewayCall.endAt(gatewayCall.deadlineNanos + DEADLINE_GRACE_NANOS);
    health.recordSent(call, nowNanos);
    connection.send(
        call.id(),
        exchange.buildRequest(call, leftMs, connection.isNew()),
        new ClientConnection.Listener() {
          @Override
          public void responseReceived(HttpResponse response) {
            onResponse(gatewayCall, connection, response);
          }

          @Override
          public void requestFailed(boolean badResponse, String message) {
            onFailure(gatewayCall, connection, badResponse, message);
          }
        });
  }

  private void onResponse(
      GatewayCall gatewayCall, TargetConnection connection, HttpResponse response) {
    long serviceNanos = time.nanoTime() - gatewayCall.sentNanos;
    MeshCall call = gatewayCall.call;
    TargetExchange.ResponseKind kind = exchange.classify(response);
    releaseAfter(kind, connection);
    gatewayCall.recordEnd(exchange.callEnd(kind, response));
    switch (kind) {
      case NOT_RUN -> {
        health.recordFailure();
        metrics.recordTargetTime("not_run", serviceNanos);
        log.refused(call, response.status());
        gatewayCall.complete(
            MeshResponse.withoutAnswer(
                Outcome.NOT_RUN, Reason.TURNED_AWAY, queue.retryAfterMs(), load()));
      }
      case INVALID -> {
        health.recordFailure();
        log.badResponse(call, connection, response.status());
        gatewayCall.complete(
            MeshResponse.withoutAnswer(Outcome.UNKNOWN, Reason.BAD_ANSWER, 0, load()));
      }
      default -> {
        boolean nestedFailed = response.status() >= 500 && health.hasNestedFailure(call);
        if (!nestedFailed) {
          health.recordResponse(call, response.status(), serviceNanos);
        }
        metrics.recordTargetTime(
            response.status() < 300 ? "ok" : "status_" + response.status(), serviceNanos);
        Reason reason = nestedFailed ? Reason.NESTED_FAILED : Reason.NONE;
        gatewayCall.complete(exchange.toMeshResponse(response, reason, serviceNanos, load()));
      }
    }
  }

  private void releaseAfter(TargetExchange.ResponseKind kind, TargetConnection connection) {
    if (kind == TargetExchange.ResponseKind.INVALID) {
      connection.close();
    } else {
      connections.release(connection);
    }
  }

  private void onFailure(
      GatewayCall gatewayCall, TargetConnection connection, boolean badResponse, String message) {
    if (gatewayCall.ended) {
      return;
    }
    gatewayCall.recordEnd(CallEnd.BROKEN);
    health.recordFailure();
    long elapsedNanos = time.nanoTime() - gatewayCall.sentNanos;
    metrics.recordTargetTime("broken", elapsedNanos);
    log.callBroken(gatewayCall.call, connection, elapsedNanos, badResponse, message);
    gatewayCall.complete(
        MeshResponse.withoutAnswer(
            Outcome.UNKNOWN, badResponse ? Reason.BAD_ANSWER : Reason.BROKEN, 0, load()));
  }
}
