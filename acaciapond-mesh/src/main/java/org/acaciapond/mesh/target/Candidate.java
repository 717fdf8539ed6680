package org.acaciapond.mesh.target;

/** One target as a caller's node sees it; changed on the event loop only. */
public final class Candidate {

  // Reports older than this say little of the present load; the estimate then relies on the calls
  // of this node alone.
  private static final double REPORT_HALF_LIFE_MS = 300;
  private static final double SLOWNESS_SMOOTHING = 0.1;
  private static final int MIN_SLOWNESS_SAMPLES = 5;
  // Above it the target's own report counts: calls that are still under way show a target that
  // turned slow before any answer does.
  private static final double SUDDEN_SLOWNESS = 2;

  private final String node;
  private final String domain;
  private volatile TargetStatus status;
  private TargetLoad load = TargetLoad.NONE;
  private long loadAtNanos;
  private int ownAtReport;
  private int outstanding;
  private int urgentOutstanding;
  private long avoidUntilNanos = Long.MIN_VALUE;
  private long coldUntilNanos;
  private double slowness = 1;
  private int slownessSamples;

  /** Creates a candidate. */
  public Candidate(String node, String domain, TargetStatus status) {
    this.node = node;
    this.domain = domain;
    this.status = status;
  }

  /** Returns the key of the node beside the target. */
  public String node() {
    return node;
  }

  /** Returns the failure domain of the target. */
  public String domain() {
    return domain;
  }

  /** Returns the latest status. */
  public TargetStatus status() {
    return status;
  }

  /** Replaces the status; a new lifetime starts without a load history. */
  public void status(TargetStatus next) {
    if (!next.id().equals(status.id()) || next.bornMs() != status.bornMs()) {
      load = TargetLoad.NONE;
      avoidUntilNanos = Long.MIN_VALUE;
      slowness = 1;
      slownessSamples = 0;
    }
    status = next;
  }

  /** Notes how much longer the target stays slow after its start. */
  public void coldUntil(long untilNanos) {
    coldUntilNanos = untilNanos;
  }

  /** Returns whether the target is still slow after its start. */
  public boolean cold(long nowNanos) {
    return nowNanos - coldUntilNanos < 0;
  }

  /** Counts a call that this node sends. */
  public void begin(boolean urgent) {
    outstanding++;
    urgentOutstanding += urgent ? 1 : 0;
  }

  /** Counts the end of a call. */
  public void end(boolean urgent) {
    outstanding--;
    urgentOutstanding -= urgent ? 1 : 0;
  }

  /** Takes the load that an answer or a status carried. */
  public void report(TargetLoad reported, long nowNanos) {
    load = reported;
    loadAtNanos = nowNanos;
    ownAtReport = outstanding;
  }

  /** Keeps the target out of the choice while others are open. */
  public void avoidUntil(long untilNanos) {
    avoidUntilNanos = untilNanos;
  }

  /** Returns whether the target is to be avoided now. */
  public boolean avoided(long nowNanos) {
    return avoidUntilNanos != Long.MIN_VALUE && nowNanos - avoidUntilNanos < 0;
  }

  /** Returns the share of calls that the target fails, from 0 to 1. */
  public double failureShare() {
    return load.failurePermille() / 1000.0;
  }

  /** Returns the smoothed time of a call in the target, 0 when unknown. */
  public double serviceUs() {
    return load.serviceUs();
  }

  /** Takes the time of an answered call as a multiple of the mean of its route at all targets. */
  public void ran(double multiple) {
    slownessSamples++;
    slowness += Math.max(SLOWNESS_SMOOTHING, 1.0 / slownessSamples) * (multiple - slowness);
  }

  /**
   * Returns the time of a call in this target as a multiple of that at an ordinary target.
   *
   * @param typicalUs time of a call at an ordinary target of the service
   */
  public double slowness(double typicalUs) {
    double reported = load.serviceUs() > 0 ? load.serviceUs() / typicalUs : 1;
    if (slownessSamples < MIN_SLOWNESS_SAMPLES) {
      return reported;
    }
    return reported > SUDDEN_SLOWNESS ? Math.max(reported, slowness) : slowness;
  }

  /** Returns the estimated calls that the target works on or that wait for it. */
  public double pending(long nowNanos) {
    return outstanding + aged(Math.max(0, load.running() + load.queued() - ownAtReport), nowNanos);
  }

  /** Returns the estimated calls that an urgent call would wait behind or run beside. */
  public double urgentPending(long nowNanos) {
    int slots = Math.max(1, status.slots());
    double others = Math.max(0, load.running() + load.urgentQueued() - ownAtReport);
    double own = Math.max(urgentOutstanding, Math.min(outstanding, slots));
    return Math.min(pending(nowNanos), own + aged(others, nowNanos));
  }

  private double aged(double reported, long nowNanos) {
    double ageMs = (nowNanos - loadAtNanos) / 1e6;
    return reported * Math.pow(0.5, ageMs / REPORT_HALF_LIFE_MS);
  }
}
