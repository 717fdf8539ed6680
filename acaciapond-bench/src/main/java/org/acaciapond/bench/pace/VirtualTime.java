package org.acaciapond.bench.pace;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual clock with scheduled actions. */
final class VirtualTime {

  /** An action at a time; the number orders actions of the same time. */
  private record Action(double atS, long number, Runnable run) {}

  private final PriorityQueue<Action> actions =
      new PriorityQueue<>(
          Comparator.comparingDouble(Action::atS).thenComparingLong(Action::number));
  private double nowS;
  private long nextNumber;

  double nowS() {
    return nowS;
  }

  long nowNanos() {
    return Math.round(nowS * 1e9);
  }

  void after(double delayS, Runnable run) {
    actions.add(new Action(nowS + delayS, nextNumber++, run));
  }

  /** Runs all actions up to a time. */
  void runUntil(double endS) {
    while (!actions.isEmpty() && actions.peek().atS <= endS) {
      Action next = actions.remove();
      nowS = next.atS;
      next.run.run();
    }
    nowS = endS;
  }
}
