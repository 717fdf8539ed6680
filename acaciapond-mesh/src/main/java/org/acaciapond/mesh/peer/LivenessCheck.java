package org.acaciapond.mesh.peer;

import java.util.function.DoubleSupplier;

/**
 * Liveness check of the connection to another node: decides when to probe the connection and when
 * to treat it as lost. A connection with pending calls is probed after a short silence. Idle
 * connections are probed rarely, because their number grows with the mesh.
 */
public final class LivenessCheck {

  private static final long MS = 1_000_000L;
  private static final long PENDING_CALLS_SILENCE_NANOS = 500 * MS;
  private static final long IDLE_SILENCE_NANOS = 2_500 * MS;
  // Traffic between failure domains is billed, and few calls use it.
  private static final long OTHER_DOMAIN_IDLE_SILENCE_NANOS = 6_000 * MS;
  // A node sends its load four times a second to the nodes that wait for its target, so a longer
  // silence is unusual.
  private static final long SUSPICIOUS_SILENCE_NANOS = 600 * MS;
  // A fully loaded host still responds within this time.
  private static final long PROBE_TIMEOUT_NANOS = 1_000 * MS;
  private static final double IDLE_JITTER_FRACTION = 0.4;

  private final boolean sameDomain;
  private final DoubleSupplier random;
  private long probeSentNanos;
  private boolean probePending;
  private long idleSilenceNanos;

  /** Action for a connection. */
  public enum Decision {
    /** Do nothing. */
    ALIVE,
    /** Send a probe. */
    PROBE,
    /** Close the connection. */
    LOST
  }

  /**
   * Creates a check.
   *
   * @param sameDomain whether the other node is in the same failure domain
   * @param random uniform random numbers from [0, 1), which spread the probes of many connections
   *     over time
   */
  public LivenessCheck(boolean sameDomain, DoubleSupplier random) {
    this.sameDomain = sameDomain;
    this.random = random;
    reset();
  }

  /** Resets the check for a new connection. */
  public final void reset() {
    probePending = false;
    long maxSilenceNanos = sameDomain ? IDLE_SILENCE_NANOS : OTHER_DOMAIN_IDLE_SILENCE_NANOS;
    idleSilenceNanos =
        (long)
            (maxSilenceNanos
                * (1 - IDLE_JITTER_FRACTION + IDLE_JITTER_FRACTION * random.getAsDouble()));
  }

  /**
   * Decides the action for a connection.
   *
   * @param lastReceivedNanos monotonic time at which the last message was received
   * @param callsPending whether calls wait for responses on the connection
   * @param onTime whether this node ran without a pause since the last check; after a pause it must
   *     read the messages that arrived meanwhile before it treats a connection as lost
   * @param nowNanos monotonic time
   */
  public Decision decide(
      long lastReceivedNanos, boolean callsPending, boolean onTime, long nowNanos) {
    if (probePending && lastReceivedNanos - probeSentNanos >= 0) {
      probePending = false;
    }
    if (probePending) {
      return onTime && nowNanos - probeSentNanos > PROBE_TIMEOUT_NANOS
          ? Decision.LOST
          : Decision.ALIVE;
    }
    long silenceNanos = callsPending ? PENDING_CALLS_SILENCE_NANOS : idleSilenceNanos;
    if (nowNanos - lastReceivedNanos > silenceNanos) {
      probePending = true;
      probeSentNanos = nowNanos;
      return Decision.PROBE;
    }
    return Decision.ALIVE;
  }

  /**
   * Returns whether a connection with pending calls has been silent for unusually long, so that
   * further calls should use other targets. The pending calls stay on it, because the node may only
   * be slow.
   *
   * @param lastReceivedNanos monotonic time at which the last message was received
   * @param pendingSinceNanos monotonic time since which calls have been pending
   * @param onTime whether this node ran without a pause since the last check
   * @param nowNanos monotonic time
   */
  public static boolean isSuspicious(
      long lastReceivedNanos, long pendingSinceNanos, boolean onTime, long nowNanos) {
    long silentNanos = Math.min(nowNanos - lastReceivedNanos, nowNanos - pendingSinceNanos);
    return onTime && silentNanos > SUSPICIOUS_SILENCE_NANOS;
  }
}
