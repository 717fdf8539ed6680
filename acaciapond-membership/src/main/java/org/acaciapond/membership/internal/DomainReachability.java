package org.acaciapond.membership.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.acaciapond.membership.NodeAddress;
import org.jspecify.annotations.Nullable;

/**
 * Tracker of the last message from each failure domain.
 *
 * <p>Members of a domain that has sent nothing for too long are removed without a tombstone. Until
 * a member of the domain sends a message itself, records of the domain are rejected. Otherwise
 * nodes that remove it at different times would keep adding it back through gossip.
 */
public final class DomainReachability {

  private final Map<String, Long> lastMessageMs = new HashMap<>();
  private final Map<String, List<NodeAddress>> addressesByForgottenDomain = new TreeMap<>();

  /** Records a message from a member of a domain. */
  public void recordMessage(String domain, long nowMs) {
    lastMessageMs.put(domain, nowMs);
    addressesByForgottenDomain.remove(domain);
  }

  /**
   * Returns whether records of members of a domain are accepted; the silence of a domain not seen
   * before is measured from this call on.
   */
  public boolean acceptsRecordsOf(String domain, long nowMs) {
    if (addressesByForgottenDomain.containsKey(domain)) {
      return false;
    }
    lastMessageMs.putIfAbsent(domain, nowMs);
    return true;
  }

  /** Returns the domains that have sent no message for at least {@code durationMs}. */
  public List<String> domainsSilentFor(long durationMs, long nowMs) {
    return lastMessageMs.entrySet().stream()
        .filter(entry -> nowMs - entry.getValue() >= durationMs)
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }

  /**
   * Rejects records of a domain until one of its members sends a message.
   *
   * @param domain failure domain
   * @param addresses addresses of some of its members, which are probed at intervals
   */
  public void forgetDomain(String domain, List<NodeAddress> addresses) {
    lastMessageMs.remove(domain);
    addressesByForgottenDomain.put(domain, List.copyOf(addresses));
  }

  /** Returns a random address in a forgotten domain, or null if no domain is forgotten. */
  public @Nullable NodeAddress forgottenAddress(RandomGenerator random) {
    List<NodeAddress> addresses =
        addressesByForgottenDomain.values().stream().flatMap(List::stream).toList();
    return addresses.isEmpty() ? null : addresses.get(random.nextInt(addresses.size()));
  }

  /** Moves all times forward by a pause of this process, during which it received no messages. */
  public void shiftTimes(long pauseMs) {
    lastMessageMs.replaceAll((domain, lastMs) -> lastMs + pauseMs);
  }
}
