package org.acaciapond.mesh.limit;

/** Smoothed rate of requests, which decays exponentially. */
final class DemandRate {

  private static final double TIME_CONSTANT_S = 1;

  private double perS;
  private long updatedNanos;

  void record(double count, long nowNanos) {
    decay(nowNanos);
    perS += count / TIME_CONSTANT_S;
  }

  double perS(long nowNanos) {
    decay(nowNanos);
    return perS;
  }

  private void decay(long nowNanos) {
    if (perS > 0) {
      perS *= Math.exp((updatedNanos - nowNanos) / 1e9 / TIME_CONSTANT_S);
    }
    updatedNanos = nowNanos;
  }
}
