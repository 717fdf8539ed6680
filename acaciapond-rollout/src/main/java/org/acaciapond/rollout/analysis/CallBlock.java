package org.acaciapond.rollout.analysis;

import org.acaciapond.rollout.evidence.LatencySketch;
import org.acaciapond.rollout.evidence.RouteCounts;

/** Calls to both versions that one reporter made in the same intervals under one grant. */
final class CallBlock {

  private final long firstInterval;
  private final long grantNumber;
  private final LatencySketch oldLatency = new LatencySketch();
  private final LatencySketch newLatency = new LatencySketch();
  private int oldCalls;
  private int newCalls;
  private int oldErrors;
  private int newErrors;

  CallBlock(long firstInterval, long grantNumber) {
    this.firstInterval = firstInterval;
    this.grantNumber = grantNumber;
  }

  void add(RouteCounts counts, boolean toNew, boolean warmingUp) {
    if (toNew) {
      newCalls += counts.calls();
      newErrors += counts.errors();
    } else {
      oldCalls += counts.calls();
      oldErrors += counts.errors();
    }
    if (!warmingUp) {
      (toNew ? newLatency : oldLatency).merge(counts.latency());
    }
  }

  boolean hasBothVersions() {
    return oldCalls > 0 && newCalls > 0;
  }

  double newShare() {
    return (double) newCalls / (newCalls + oldCalls);
  }

  long firstInterval() {
    return firstInterval;
  }

  long grantNumber() {
    return grantNumber;
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
