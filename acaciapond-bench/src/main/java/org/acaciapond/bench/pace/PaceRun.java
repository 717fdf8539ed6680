package org.acaciapond.bench.pace;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.acaciapond.mesh.admission.AdmissionQueue;
import org.acaciapond.mesh.admission.AdmissionResult;
import org.acaciapond.mesh.admission.CallClass;
import org.acaciapond.mesh.admission.CallRank;
import org.acaciapond.mesh.admission.ServiceTimes;
import org.acaciapond.mesh.admission.StartPace;
import org.acaciapond.mesh.pace.CallEnd;
import org.acaciapond.mesh.pace.ColdBounds;
import org.acaciapond.mesh.pace.PaceState;
import org.acaciapond.mesh.pace.PacedCall;
import org.acaciapond.mesh.pace.TargetPacer;
import org.jspecify.annotations.Nullable;

/**
 * One run of a case: calls arrive at the node of a target, which admits them by its queue, either
 * with as many at once as the target has slots or at the pace of {@link TargetPacer}.
 */
final class PaceRun {

  private static final double CHECK_INTERVAL_S = 0.1;
  private static final double SAMPLE_S = 0.25;
  private static final double CONNECT_S = 0.001;
  private static final double FULL_SHARE = 0.9;
  private static final double NODE_START_S = -2;

  private final PaceCase test;
  private final boolean paced;
  private final VirtualTime time = new VirtualTime();
  private final Random random;
  private final SimulatedTarget target;
  private final ServiceTimes serviceTimes = new ServiceTimes();
  private final TargetPacer pacer;
  private final AdmissionQueue<Call> queue;
  private final List<PaceState> states = new ArrayList<>();
  private final PaceCounts counts = new PaceCounts();
  private final Set<Call> sentCalls = new LinkedHashSet<>();
  private boolean startScheduled;
  private double busyBeforeS;
  private double fullAtS = Double.NaN;

  /** A call at the node. */
  private final class Call {
    private final String route;
    private final int routeNumber;
    private final double arrivedS;
    private final boolean idempotent = random.nextBoolean();
    private boolean running;
    private boolean ended;
    private SimulatedTarget.@Nullable Request request;
    private @Nullable PacedCall pacedCall;
    private double sentAtS;

    Call(int routeNumber) {
      this.routeNumber = routeNumber;
      this.route = "route-" + routeNumber;
      this.arrivedS = time.nowS();
    }
  }

  PaceRun(PaceCase test, boolean paced, long seed) {
    this.test = test;
    this.paced = paced;
    this.random = new Random(seed);
    this.target = new SimulatedTarget(test, time, random);
    DoubleSupplier rate = () -> PaceCase.COLD_RATE_PER_S;
    this.pacer =
        new TargetPacer(
            new ColdBounds(PaceCase.COLD_OVER_FACTOR, PaceCase.COLD_SLACK),
            rate,
            Math.round(NODE_START_S * 1e9));
    this.queue = new AdmissionQueue<>(serviceTimes, paced ? pacer : StartPace.UNLIMITED);
  }

  PaceResult run() {
    pacer.targetStarted(PaceCase.SLOTS, 0, time.nowNanos());
    applySlots();
    time.after(nextArrivalS(), this::arrive);
    time.after(CHECK_INTERVAL_S, this::check);
    time.after(test.recoveredS() + SAMPLE_S, this::sample);
    time.after(test.troubleS(), this::beginTrouble);
    time.after(test.recoveredS(), this::endTrouble);
    time.runUntil(PaceCase.LENGTH_S);
    return counts.result(
        fullAtS - test.recoveredS(), target.mostArrivals(), target.crashes(), List.copyOf(states));
  }

  private double nextArrivalS() {
    return -Math.log(1 - random.nextDouble()) / test.arrivalsPerS(time.nowS());
  }

  private void beginTrouble() {
    if (test.trouble() == PaceCase.Trouble.DOWN) {
      target.loseAll();
    }
    if (test.trouble() == PaceCase.Trouble.COLD) {
      int coldMs = (int) (1_000 * (test.recoveredS() - test.troubleS()));
      pacer.targetUpdated(PaceCase.SLOTS, coldMs, time.nowNanos());
    }
  }

  private void endTrouble() {
    busyBeforeS = target.busyS();
    if (test.trouble() == PaceCase.Trouble.COLD) {
      pacer.targetUpdated(PaceCase.SLOTS, 0, time.nowNanos());
    }
  }

  private void sample() {
    double busyS = target.busyS();
    if (Double.isNaN(fullAtS) && busyS - busyBeforeS >= FULL_SHARE * PaceCase.SLOTS * SAMPLE_S) {
      fullAtS = time.nowS();
    }
    busyBeforeS = busyS;
    time.after(SAMPLE_S, this::sample);
  }

  private void check() {
    if (paced) {
      pacer.checkOverdue(time.nowNanos());
      applySlots();
      if (pacer.isStuck()) {
        queue.drainQueue().forEach(this::refuse);
        List.copyOf(sentCalls).forEach(this::endOverdueIdempotentCall);
      } else {
        startQueued();
      }
    }
    time.after(CHECK_INTERVAL_S, this::check);
  }

  private void applySlots() {
    queue.setSlots(paced ? pacer.limit(time.nowNanos()) : PaceCase.SLOTS);
    if (states.isEmpty() || states.get(states.size() - 1) != pacer.state()) {
      states.add(pacer.state());
    }
  }

  private void arrive() {
    time.after(nextArrivalS(), this::arrive);
    Call call = new Call(random.nextInt(test.routes().size()));
    counts.offered(test.isTroubled(time.nowS()));
    long nowNanos = time.nowNanos();
    if (paced && pacer.isStuck() && !pacer.mayProbe(call.idempotent, queue.running(), nowNanos)) {
      refuse(call);
      return;
    }
    CallClass callClass =
        new CallClass(
            call.route,
            CallRank.ofRequest(1),
            nowNanos + Math.round(PaceCase.OBJECTIVE_S * 1e9),
            nowNanos + Math.round(PaceCase.DEADLINE_S * 1e9));
    time.after(PaceCase.DEADLINE_S, () -> expire(call));
    AdmissionResult<Call> result = queue.offer(call, callClass, nowNanos);
    result.evicted().forEach(this::refuse);
    switch (result.decision()) {
      case RUN -> connect(call);
      case REFUSE -> refuse(call);
      default -> scheduleStart();
    }
  }

  private void scheduleStart() {
    double delayUs = paced ? pacer.delayUs(0, time.nowNanos()) : 0;
    if (queue.queued() > 0 && delayUs > 0 && !startScheduled) {
      startScheduled = true;
      time.after(
          delayUs / 1e6 + 1e-6,
          () -> {
            startScheduled = false;
            startQueued();
          });
    }
  }

  private void startQueued() {
    applyReleased(queue.startQueued(time.nowNanos()));
    scheduleStart();
  }

  private void applyReleased(AdmissionQueue.Released<Call> released) {
    released.refused().forEach(this::refuse);
    released.run().forEach(this::connect);
  }

  private void refuse(Call call) {
    if (!call.ended) {
      counts.refused();
    }
    end(call);
  }

  private void connect(Call call) {
    call.running = true;
    time.after(CONNECT_S, () -> send(call));
  }

  private void send(Call call) {
    if (!target.acceptsConnections()) {
      pacer.connectFailed(time.nowNanos());
      refuse(call);
      return;
    }
    if (paced && !pacer.trySend(time.nowNanos())) {
      refuse(call);
      return;
    }
    call.sentAtS = time.nowS();
    call.pacedCall = pacer.callSent(call.route, time.nowNanos());
    sentCalls.add(call);
    SimulatedTarget.Request request =
        new SimulatedTarget.Request(call.routeNumber, end -> answered(call, end));
    call.request = request;
    target.receive(request);
  }

  private void answered(Call call, CallEnd end) {
    if (call.ended) {
      return;
    }
    recordEnd(call, end);
    switch (end) {
      case ANSWERED -> {
        serviceTimes.add(call.route, (time.nowS() - call.sentAtS) * 1e6);
        counts.served(time.nowS() - call.arrivedS <= PaceCase.OBJECTIVE_S);
      }
      case REFUSED -> counts.refusedByTarget();
      default -> counts.lost(call.idempotent, time.nowS() - call.arrivedS);
    }
    end(call);
  }

  private void recordEnd(Call call, CallEnd end) {
    PacedCall sent = call.pacedCall;
    if (sent != null) {
      pacer.callEnded(sent, end, time.nowNanos());
    }
  }

  private void expire(Call call) {
    if (call.ended) {
      return;
    }
    SimulatedTarget.Request request = call.request;
    if (request == null) {
      queue.cancel(call);
      refuse(call);
      return;
    }
    abandon(call, request);
  }

  private void abandon(Call call, SimulatedTarget.Request request) {
    counts.lost(call.idempotent, time.nowS() - call.arrivedS);
    recordEnd(call, CallEnd.ABANDONED);
    target.drop(request);
    end(call);
  }

  private void endOverdueIdempotentCall(Call call) {
    PacedCall sent = call.pacedCall;
    SimulatedTarget.Request request = call.request;
    if (call.idempotent && sent != null && request != null && sent.isOverdue()) {
      abandon(call, request);
    }
  }

  private void end(Call call) {
    if (call.ended) {
      return;
    }
    call.ended = true;
    sentCalls.remove(call);
    if (call.running) {
      applySlots();
      applyReleased(queue.release(call.route, time.nowNanos()));
      scheduleStart();
    }
  }
}
