package org.acaciapond.rollout.analysis;

import org.acaciapond.rollout.evidence.LatencySketch;
import org.acaciapond.rollout.evidence.RouteCounts;

/** Calls to both versions that one witness made in the same intervals under one grant. */
final class Block {

  private final long firstInterval;
  private final long grant;
  private final LatencySketch oldLatency = new LatencySketch();
  private final LatencySketch newLatency = new LatencySketch();
  private int oldCalls;
  private int newCalls;
  private int oldErrors;
  private int newErrors;

  Block(long firstInterval, long grant) {
    this.firstInterval = firstInterval;
    this.grant = grant;
  }

  void add(RouteCounts counts, boolean toNew, boolean cold) {
    if (toNew) {
      newCalls += counts.calls();
      newErrors += counts.errors();
    } else {
      oldCalls += counts.calls();
      oldErrors += counts.errors();
    }
    if (!cold) {
      (toNew ? newLatency : oldLatency).merge(counts.latency());
    }
  }

  boolean comparable() {
    return oldCalls > 0 && newCalls > 0;
  }

  double newShare() {
    return (double) newCalls / (newCalls + oldCalls);
  }

  long firstInterval() {
    return firstInterval;
  }

  long grant() {
    return grant;
  }

  int calls() {
    return oldCalls + newCalls;
  }

  int oldCalls() {
    return oldCalls;
  }

  int oldErrors() {
    return oldErrors;
  }

  int newErrors() {
    return newErrors;
  }

  LatencySketch oldLatency() {
    return oldLatency;
  }

  LatencySketch newLatency() {
    return newLatency;
  }
}
