package org.acaciapond.mesh.admission;

/** Pace at which calls may start, in addition to the slots of their target. */
public interface StartPace {

  /** Pace that limits nothing. */
  StartPace UNLIMITED =
      new StartPace() {
        @Override
        public boolean mayStart(long nowNanos) {
          return true;
        }

        @Override
        public void started(long nowNanos) {}

        @Override
        public double delayUs(int callsAhead, long nowNanos) {
          return 0;
        }
      };

  /** Returns whether a call may start now. */
  boolean mayStart(long nowNanos);

  /** Counts the start of a call. */
  void started(long nowNanos);

  /**
   * Returns the time until a call may start, in microseconds.
   *
   * @param callsAhead number of queued calls that start earlier
   */
  double delayUs(int callsAhead, long nowNanos);
}
