package org.acaciapond.mesh.target;

/** Target as seen by a calling node, with its estimated load; modified on the event loop only. */
public final class Candidate {

  // Weight of a load report halves in this time; the estimate of the load then relies more and more
  // on the calls of this node.
  private static final double REPORT_HALF_LIFE_MS = 300;
  private static final double SLOWNESS_SMOOTHING_FACTOR = 0.1;
  private static final int MIN_SLOWNESS_SAMPLES = 5;
  // Above this factor the load reported by the target is used as well: it includes calls that are
  // still running and so reveals a target that turned slow before any response does.
  private static final double SUDDEN_SLOWNESS_FACTOR = 2;

  private final String node;
  private final String domain;
  private volatile TargetStatus status;
  private TargetLoad load = TargetLoad.NONE;
  private long reportedAtNanos;
  private int localPendingAtReport;
  private int localPending;
  private int localUrgentPending;
  private long avoidUntilNanos = Long.MIN_VALUE;
  private long coldUntilNanos;
  private double slowness = 1;
  private int slownessSamples;
  private boolean evacuated;

  /** Creates a candidate. */
  public Candidate(String node, String domain, TargetStatus status) {
    this.node = node;
    this.domain = domain;
    this.status = status;
  }

  /** Returns the key of the node of the target. */
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

  /** Replaces the status; a new lifetime of the target discards the load history. */
  public void updateStatus(TargetStatus next) {
    if (!next.id().equals(status.id()) || next.startedMs() != status.startedMs()) {
      load = TargetLoad.NONE;
      avoidUntilNanos = Long.MIN_VALUE;
      slowness = 1;
      slownessSamples = 0;
    }
    status = next;
  }

  /** Sets whether the failure domain of the target is evacuated. */
  public void setEvacuated(boolean value) {
    evacuated = value;
  }

  /** Returns whether the failure domain of the target is evacuated. */
  public boolean isEvacuated() {
    return evacuated;
  }

  /** Returns whether calls may be sent to the target. */
  public boolean acceptsCalls() {
    return !evacuated && status.acceptsCalls();
  }

  /** Sets the monotonic time until which the target is slow after its start. */
  public void setColdUntil(long untilNanos) {
    coldUntilNanos = untilNanos;
  }

  /** Returns whether the target is still slow after its start. */
  public boolean isCold(long nowNanos) {
    return nowNanos - coldUntilNanos < 0;
  }

  /**
   * Returns the number of concurrent calls that the target can run. A cold target has no more than
   * the calls that are running at the rate that it tolerates.
   *
   * @param coldRequestsPerS rate that cold targets of the service tolerate, 0 if any
   * @param typicalUs mean service time of the targets of the service
   */
  public double capacity(double coldRequestsPerS, double typicalUs, long nowNanos) {
    int slots = Math.max(1, status.slots());
    if (coldRequestsPerS <= 0 || !isCold(nowNanos)) {
      return slots;
    }
    double running = coldRequestsPerS * Math.max(typicalUs, load.serviceUs()) / 1e6;
    return Math.min(slots, Math.max(1, running));
  }

  /** Counts the start of a call that this node sends. */
  public void callStarted(boolean urgent) {
    localPending++;
    localUrgentPending += urgent ? 1 : 0;
  }

  /** Counts the end of a call that this node sent. */
  public void callEnded(boolean urgent) {
    localPending--;
    localUrgentPending -= urgent ? 1 : 0;
  }

  /** Sets the load that a response or a status reported. */
  public void updateLoad(TargetLoad reported, long nowNanos) {
    load = reported;
    reportedAtNanos = nowNanos;
    localPendingAtReport = localPending;
  }

  /** Sets the monotonic time until which other targets that accept calls are preferred. */
  public void avoidUntil(long untilNanos) {
    avoidUntilNanos = untilNanos;
  }

  /** Returns whether other targets are preferred now. */
  public boolean isAvoided(long nowNanos) {
    return avoidUntilNanos != Long.MIN_VALUE && nowNanos - avoidUntilNanos < 0;
  }

  /** Returns the share of calls that the target fails, from 0 to 1. */
  public double failureShare() {
    return load.failurePermille() / 1000.0;
  }

  /** Returns the smoothed service time of the target in microseconds, 0 if unknown. */
  public double serviceUs() {
    return load.serviceUs();
  }

  /** Records the service time of a call as a multiple of the mean of its route at all targets. */
  public void recordRelativeServiceTime(double multiple) {
    slownessSamples++;
    slowness += Math.max(SLOWNESS_SMOOTHING_FACTOR, 1.0 / slownessSamples) * (multiple - slowness);
  }

  /**
   * Returns the service time of this target as a multiple of that of a typical target.
   *
   * @param typicalUs mean service time of the targets of the service
   */
  public double slowness(double typicalUs) {
    double reported = load.serviceUs() > 0 ? load.serviceUs() / typicalUs : 1;
    if (slownessSamples < MIN_SLOWNESS_SAMPLES) {
      return reported;
    }
    return reported > SUDDEN_SLOWNESS_FACTOR ? Math.max(reported, slowness) : slowness;
  }

  /** Returns the estimated number of calls that run in the target or wait for it. */
  public double pending(long nowNanos) {
    return localPending
        + decayed(Math.max(0, load.running() + load.queued() - localPendingAtReport), nowNanos);
  }

  /**
   * Returns the estimated number of calls that run in the target or wait ahead of an urgent call.
   */
  public double urgentPending(long nowNanos) {
    int slots = Math.max(1, status.slots());
    double others = Math.max(0, load.running() + load.urgentQueued() - localPendingAtReport);
    double local = Math.max(localUrgentPending, Math.min(localPending, slots));
    return Math.min(pending(nowNanos), local + decayed(others, nowNanos));
  }

  private double decayed(double reported, long nowNanos) {
    double ageMs = (nowNanos - reportedAtNanos) / 1e6;
    return reported * Math.pow(0.5, ageMs / REPORT_HALF_LIFE_MS);
  }
}
