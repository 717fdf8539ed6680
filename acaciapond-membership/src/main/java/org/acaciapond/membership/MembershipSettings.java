package org.acaciapond.membership;

/**
 * Intervals, timeouts and limits of the membership protocol.
 *
 * @param probeIntervalMs interval between probes within the failure domain
 * @param ackTimeoutMs time without a response after which a member is probed through other nodes
 * @param probeTimeoutMs time without a response after which a member is suspected
 * @param suspicionTimeoutMs time in which a suspected member can refute the suspicion
 * @param crossDomainIntervalMs interval between probes of other failure domains
 * @param antiEntropyIntervalMs interval between comparisons of the whole state
 * @param tombstoneRetentionMs time for which records of members that left or failed are kept
 * @param unreachableRetentionMs time for which members of a failure domain that sends nothing are
 *     kept
 * @param pauseThresholdMs minimum gap between two ticks that counts as a pause of the process
 * @param updateBytesPerSecond sustained rate limit of the updates that a node sends
 */
public record MembershipSettings(
    long probeIntervalMs,
    long ackTimeoutMs,
    long probeTimeoutMs,
    long suspicionTimeoutMs,
    long crossDomainIntervalMs,
    long antiEntropyIntervalMs,
    long tombstoneRetentionMs,
    long unreachableRetentionMs,
    long pauseThresholdMs,
    int updateBytesPerSecond) {

  /** Default values. Updates use at most half of the control traffic budget of 3 KB/s per node. */
  public static final MembershipSettings DEFAULTS =
      new MembershipSettings(
          1_000, 500, 1_500, 5_000, 5_000, 30_000, 3_600_000, 600_000, 3_000, 1_500);
}
