package org.acaciapond.membership.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.acaciapond.membership.NodeAddress;
import org.jspecify.annotations.Nullable;

/**
 * Record of when other failure domains were last heard of.
 *
 * <p>Members of a domain that is silent for too long are forgotten, without a tombstone. Until a
 * member of the domain is heard itself, records of it are refused, since otherwise nodes that
 * forget it at different times would keep giving it back to one another.
 */
public final class DomainReach {

  private final Map<String, Long> heardAtMs = new HashMap<>();
  private final Map<String, List<NodeAddress>> forgotten = new TreeMap<>();

  /** Notes a message of a member of a domain. */
  public void heard(String domain, long nowMs) {
    heardAtMs.put(domain, nowMs);
    forgotten.remove(domain);
  }

  /** Returns whether records of a domain may be taken. */
  public boolean accepts(String domain, long nowMs) {
    if (forgotten.containsKey(domain)) {
      return false;
    }
    heardAtMs.putIfAbsent(domain, nowMs);
    return true;
  }

  /** Returns the domains that were silent for at least a time. */
  public List<String> silentFor(long durationMs, long nowMs) {
    return heardAtMs.entrySet().stream()
        .filter(entry -> nowMs - entry.getValue() >= durationMs)
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }

  /**
   * Refuses records of a domain until one of its members is heard.
   *
   * @param domain failure domain
   * @param addresses some of its members, to be tried now and then
   */
  public void forget(String domain, List<NodeAddress> addresses) {
    heardAtMs.remove(domain);
    forgotten.put(domain, List.copyOf(addresses));
  }

  /** Returns an address of a forgotten domain, or null when no domain is forgotten. */
  public @Nullable NodeAddress forgottenAddress(RandomGenerator random) {
    List<NodeAddress> all = forgotten.values().stream().flatMap(List::stream).toList();
    return all.isEmpty() ? null : all.get(random.nextInt(all.size()));
  }

  /** Moves all times forward by a pause of this process, in which nothing could be heard. */
  public void shift(long byMs) {
    heardAtMs.replaceAll((domain, heard) -> heard + byMs);
  }
}
