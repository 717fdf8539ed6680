package org.acaciapond.mesh.pace;

/** One call that was sent to the target and has not ended; modified by {@link TargetPacer} only. */
public final class PacedCall {

  private final String route;
  private final long sentNanos;
  private final int runningAtSend;
  private boolean overdue;

  PacedCall(String route, long sentNanos, int runningAtSend) {
    this.route = route;
    this.sentNanos = sentNanos;
    this.runningAtSend = runningAtSend;
  }

  String route() {
    return route;
  }

  long sentNanos() {
    return sentNanos;
  }

  /** Returns how many calls ran after this one was sent. */
  int runningAtSend() {
    return runningAtSend;
  }

  /** Returns whether the call runs far longer than such calls usually take. */
  public boolean isOverdue() {
    return overdue;
  }

  void markOverdue() {
    overdue = true;
  }
}
