package org.acaciapond.mesh.peer;

import java.util.function.DoubleSupplier;

/**
 * Decides when a connection to another node is asked for a sign of life, and when it is lost. A
 * connection on which calls wait is asked soon; others are asked seldom, as their number grows with
 * the mesh.
 */
public final class LivenessCheck {

  private static final long MS = 1_000_000L;
  private static final long BUSY_SILENCE_NANOS = 500 * MS;
  private static final long IDLE_SILENCE_NANOS = 2_500 * MS;
  // Bytes between failure domains are paid for, and few calls go there.
  private static final long OTHER_DOMAIN_IDLE_SILENCE_NANOS = 6_000 * MS;
  // A node tells those that wait for its target of the load four times a second, so a longer
  // silence is unusual.
  private static final long SUSPICIOUS_SILENCE_NANOS = 600 * MS;
  // A host under full load still answers within this time.
  private static final long ANSWER_NANOS = 1_000 * MS;
  private static final double IDLE_SPREAD = 0.4;

  private final boolean sameDomain;
  private final DoubleSupplier random;
  private long askedNanos;
  private boolean asked;
  private long idleSilenceNanos;

  /** What to do with a connection. */
  public enum Decision {
    /** Nothing. */
    ALIVE,
    /** Ask for a sign of life. */
    ASK,
    /** End the connection. */
    LOST
  }

  /**
   * Creates a check.
   *
   * @param sameDomain whether the other node is in the own failure domain
   * @param random uniform draws from [0, 1), which spread the questions of many connections
   */
  public LivenessCheck(boolean sameDomain, DoubleSupplier random) {
    this.sameDomain = sameDomain;
    this.random = random;
    connected();
  }

  /** Starts anew with a new connection. */
  public final void connected() {
    asked = false;
    long longestNanos = sameDomain ? IDLE_SILENCE_NANOS : OTHER_DOMAIN_IDLE_SILENCE_NANOS;
    idleSilenceNanos =
        (long) (longestNanos * (1 - IDLE_SPREAD + IDLE_SPREAD * random.getAsDouble()));
  }

  /**
   * Decides on a connection.
   *
   * @param heardNanos monotonic time at which something was heard last
   * @param callsWait whether calls wait for answers on the connection
   * @param onTime whether this node has been running since the last check; one that has not must
   *     read what has arrived meanwhile before it decides
   * @param nowNanos monotonic time
   */
  public Decision decide(long heardNanos, boolean callsWait, boolean onTime, long nowNanos) {
    if (asked && heardNanos - askedNanos >= 0) {
      asked = false;
    }
    if (asked) {
      return onTime && nowNanos - askedNanos > ANSWER_NANOS ? Decision.LOST : Decision.ALIVE;
    }
    long silenceNanos = callsWait ? BUSY_SILENCE_NANOS : idleSilenceNanos;
    if (nowNanos - heardNanos > silenceNanos) {
      asked = true;
      askedNanos = nowNanos;
      return Decision.ASK;
    }
    return Decision.ALIVE;
  }

  /**
   * Returns whether a connection on which calls wait has been silent for unusually long, so that
   * further calls should go elsewhere. Those under way stay, as the node may only be slow.
   *
   * @param heardNanos monotonic time at which something was heard last
   * @param waitingSinceNanos monotonic time since which calls have been waiting
   * @param onTime whether this node has been running since the last check
   * @param nowNanos monotonic time
   */
  public static boolean suspicious(
      long heardNanos, long waitingSinceNanos, boolean onTime, long nowNanos) {
    long silentNanos = Math.min(nowNanos - heardNanos, nowNanos - waitingSinceNanos);
    return onTime && silentNanos > SUSPICIOUS_SILENCE_NANOS;
  }
}
