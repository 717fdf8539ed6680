package org.acaciapond.membership;

/**
 * Intervals of the membership protocol.
 *
 * @param probeIntervalMs interval between probes inside the failure domain
 * @param ackTimeoutMs delay without answer after which a probe is sent through other nodes
 * @param probeTimeoutMs delay without answer after which a member is suspected
 * @param suspicionMs time that a suspected member has to contradict
 * @param exchangeIntervalMs interval between exchanges with other failure domains
 * @param antiEntropyIntervalMs interval between comparisons of all state
 * @param tombstoneMs time for which members that left or died are remembered
 * @param unreachableMs time for which members of a silent failure domain are kept
 * @param pauseMs gap between two ticks that counts as a pause of the process
 * @param updateBytesPerSecond sustained limit of the updates that a node sends
 */
public record MembershipSettings(
    long probeIntervalMs,
    long ackTimeoutMs,
    long probeTimeoutMs,
    long suspicionMs,
    long exchangeIntervalMs,
    long antiEntropyIntervalMs,
    long tombstoneMs,
    long unreachableMs,
    long pauseMs,
    int updateBytesPerSecond) {

  /** Intervals of the design. Updates take at most half of the control budget of 3 KB/s a node. */
  public static final MembershipSettings DEFAULTS =
      new MembershipSettings(
          1_000, 500, 1_500, 5_000, 5_000, 30_000, 3_600_000, 600_000, 3_000, 1_500);
}
