package org.acaciapond.bench.pace;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.acaciapond.mesh.pace.CallEnd;

/** Target with slots and a short queue, in virtual time. */
final class SimulatedTarget {

  private static final double SIGMA = 0.5;
  private static final double SLOW_FACTOR = 5;
  private static final double COLD_FACTOR = 2;
  private static final double CONGESTION_FACTOR = 0.5;
  private static final double REFUSED_SHARE = 0.25;
  private static final double CRASH_FACTOR = 3;
  private static final double CRASH_S = 3;

  /** A request and where its answer goes. */
  record Request(int route, Consumer<CallEnd> answer) {}

  private final PaceCase test;
  private final VirtualTime time;
  private final Random random;
  private final Set<Request> running = new HashSet<>();
  private final Deque<Request> queue = new ArrayDeque<>();
  private final Deque<Double> arrivalsS = new ArrayDeque<>();
  private double downUntilS = Double.NEGATIVE_INFINITY;
  private double busyS;
  private double busyUpdatedS;
  private int crashes;
  private int mostArrivals;

  SimulatedTarget(PaceCase test, VirtualTime time, Random random) {
    this.test = test;
    this.time = time;
    this.random = random;
  }

  boolean acceptsConnections() {
    return !isIn(PaceCase.Trouble.DOWN) && time.nowS() >= downUntilS;
  }

  int crashes() {
    return crashes;
  }

  /** Returns the largest number of requests that arrived in one second while the target is cold. */
  int mostArrivals() {
    return mostArrivals;
  }

  /** Returns the time summed over all slots in which they were busy. */
  double busyS() {
    updateBusy();
    return busyS;
  }

  private boolean isIn(PaceCase.Trouble trouble) {
    return test.trouble() == trouble && test.isTroubled(time.nowS());
  }

  private void updateBusy() {
    busyS += running.size() * (time.nowS() - busyUpdatedS);
    busyUpdatedS = time.nowS();
  }

  private int slots() {
    return isIn(PaceCase.Trouble.HALF) ? PaceCase.SLOTS / 2 : PaceCase.SLOTS;
  }

  void receive(Request request) {
    countArrival();
    if (!acceptsConnections()) {
      request.answer.accept(CallEnd.BROKEN);
    } else if (isIn(PaceCase.Trouble.REFUSING) && random.nextDouble() < REFUSED_SHARE) {
      request.answer.accept(CallEnd.REFUSED);
    } else if (!isIn(PaceCase.Trouble.SILENT)) {
      serve(request);
    }
  }

  private void countArrival() {
    arrivalsS.addLast(time.nowS());
    while (time.nowS() - arrivalsS.peekFirst() > 1) {
      arrivalsS.removeFirst();
    }
    if (!isIn(PaceCase.Trouble.COLD)) {
      return;
    }
    mostArrivals = Math.max(mostArrivals, arrivalsS.size());
    if (arrivalsS.size() > CRASH_FACTOR * PaceCase.COLD_RATE_PER_S && acceptsConnections()) {
      crash();
    }
  }

  private void crash() {
    crashes++;
    downUntilS = time.nowS() + CRASH_S;
    loseAll();
  }

  /** Breaks the connections of all requests. */
  void loseAll() {
    updateBusy();
    Set<Request> lost = new HashSet<>(running);
    lost.addAll(queue);
    running.clear();
    queue.clear();
    lost.forEach(request -> request.answer.accept(CallEnd.BROKEN));
  }

  private void serve(Request request) {
    if (running.size() < slots()) {
      start(request);
    } else if (queue.size() < PaceCase.TARGET_QUEUE) {
      queue.addLast(request);
    } else if (test.onFull() != PaceCase.OnFull.HANG) {
      boolean refuses = test.onFull() == PaceCase.OnFull.REFUSE;
      request.answer.accept(refuses ? CallEnd.REFUSED : CallEnd.BROKEN);
    }
  }

  private void start(Request request) {
    updateBusy();
    running.add(request);
    double serviceS =
        test.routes().get(request.route)
            * test.speed()
            * troubleFactor()
            * Math.exp(SIGMA * random.nextGaussian() - SIGMA * SIGMA / 2);
    time.after(serviceS, () -> finish(request));
  }

  private double troubleFactor() {
    if (isIn(PaceCase.Trouble.SLOW)) {
      return SLOW_FACTOR;
    }
    if (isIn(PaceCase.Trouble.COLD)) {
      return COLD_FACTOR;
    }
    int beyondHalf = Math.max(0, running.size() - PaceCase.SLOTS / 2);
    return test.trouble() == PaceCase.Trouble.CONGESTED ? 1 + CONGESTION_FACTOR * beyondHalf : 1;
  }

  private void finish(Request request) {
    if (!running.contains(request)) {
      return;
    }
    if (isIn(PaceCase.Trouble.SILENT)) {
      return;
    }
    drop(request);
    request.answer.accept(CallEnd.ANSWERED);
  }

  /** Drops a request whose connection closed, and starts queued ones. */
  void drop(Request request) {
    updateBusy();
    queue.remove(request);
    running.remove(request);
    while (running.size() < slots() && !queue.isEmpty()) {
      start(queue.removeFirst());
    }
  }
}
