package org.acaciapond.distribution.election;

import java.util.Collection;
import java.util.List;
import java.util.random.RandomGenerator;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.RendezvousHash;

/**
 * Roles that the members of a failure domain have.
 *
 * @param relays hosts that leaves subscribe to
 * @param replicas hosts that hold the whole configuration: the relays, and at least four
 * @param pollerCandidates hosts that may take the poller lease, in order of rank
 */
public record DomainRoles(
    List<String> relays, List<String> replicas, List<String> pollerCandidates) {

  private static final int MEMBERS_PER_RELAY = 32;
  private static final int MIN_RELAYS = 2;

  /**
   * Least number of replicas: a replica activates a version that two others hold, so that with four
   * the crash of one holds up no version until the members drop it. A starting node hears all
   * replicas but one, so it always hears one that holds the version.
   */
  private static final int MIN_REPLICAS = 4;

  private static final int POLLER_CANDIDATES = 4;
  private static final long MIN_ATTEMPT_DELAY_MS = 500;
  private static final long ATTEMPT_JITTER_MS = 1_000;

  /** Computes the roles in a domain from the records of its members. */
  public static DomainRoles of(String domain, Collection<Member> members) {
    List<String> ids = members.stream().map(Member::hostId).toList();
    List<String> byRelayRank = RendezvousHash.rank("relay/" + domain, ids);
    List<String> byPollerRank = RendezvousHash.rank("poller/" + domain, ids);
    int relayCount = relayCount(byRelayRank.size());
    return new DomainRoles(
        first(byRelayRank, relayCount),
        first(byRelayRank, Math.max(relayCount, MIN_REPLICAS)),
        first(byPollerRank, POLLER_CANDIDATES));
  }

  /** Returns how many relays a domain of this size has. */
  public static int relayCount(int memberCount) {
    int wanted = (memberCount + MEMBERS_PER_RELAY - 1) / MEMBERS_PER_RELAY;
    return Math.min(memberCount, Math.max(MIN_RELAYS, wanted));
  }

  private static List<String> first(List<String> ranked, int count) {
    return List.copyOf(ranked.subList(0, Math.min(count, ranked.size())));
  }

  /** Returns the relays in the order in which a host subscribes to them. */
  public List<String> relaysFor(String hostId) {
    return RendezvousHash.rank("leaf/" + hostId, relays);
  }

  /**
   * Returns the pause before a candidate tries to take the lease again.
   *
   * <p>It is drawn anew each time, so that candidates do not all try when a lease expires.
   */
  public static long attemptDelayMs(RandomGenerator random) {
    return MIN_ATTEMPT_DELAY_MS + random.nextLong(ATTEMPT_JITTER_MS);
  }
}
