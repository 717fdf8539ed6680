package org.acaciapond.distribution.election;

import java.util.Collection;
import java.util.List;
import java.util.random.RandomGenerator;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.RendezvousHash;

/**
 * Assignment of distribution roles to the members of a failure domain.
 *
 * @param relays hosts that leaves subscribe to
 * @param replicas hosts that store the full configuration: the relays, filled up to at least four
 * @param pollerCandidates hosts that may acquire the poller lease, in order of rank
 */
public record DomainRoles(
    List<String> relays, List<String> replicas, List<String> pollerCandidates) {

  private static final int MEMBERS_PER_RELAY = 32;
  private static final int MIN_RELAYS = 2;

  /**
   * Minimum number of replicas. A replica activates a version that two others store, so with four
   * replicas the crash of one does not delay a version until the crash is detected. A starting node
   * waits for the responses of all replicas but one, so at least one of them stores the version.
   */
  private static final int MIN_REPLICAS = 4;

  private static final int POLLER_CANDIDATES = 4;
  private static final long MIN_ATTEMPT_DELAY_MS = 500;
  private static final long ATTEMPT_JITTER_MS = 1_000;

  /** Computes the roles in a failure domain from its members. */
  public static DomainRoles of(String domain, Collection<Member> members) {
    List<String> ids = members.stream().map(Member::hostId).toList();
    List<String> byRelayRank = RendezvousHash.rank("relay/" + domain, ids);
    List<String> byPollerRank = RendezvousHash.rank("poller/" + domain, ids);
    int relayCount = relayCount(byRelayRank.size());
    return new DomainRoles(
        takeFirst(byRelayRank, relayCount),
        takeFirst(byRelayRank, Math.max(relayCount, MIN_REPLICAS)),
        takeFirst(byPollerRank, POLLER_CANDIDATES));
  }

  /** Returns the number of relays of a domain with a number of members. */
  public static int relayCount(int memberCount) {
    int count = (memberCount + MEMBERS_PER_RELAY - 1) / MEMBERS_PER_RELAY;
    return Math.min(memberCount, Math.max(MIN_RELAYS, count));
  }

  private static List<String> takeFirst(List<String> ranked, int count) {
    return List.copyOf(ranked.subList(0, Math.min(count, ranked.size())));
  }

  /** Returns the relays in the order in which a host subscribes to them. */
  public List<String> relaysFor(String hostId) {
    return RendezvousHash.rank("leaf/" + hostId, relays);
  }

  /**
   * Returns the delay until a candidate tries to acquire the lease again.
   *
   * <p>The delay is random, so that candidates do not all try at once when a lease expires.
   */
  public static long attemptDelayMs(RandomGenerator random) {
    return MIN_ATTEMPT_DELAY_MS + random.nextLong(ATTEMPT_JITTER_MS);
  }
}
