package org.acaciapond.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Rendezvous hashing: a ranking of members that all nodes compute identically and that keeps the
 * relative order of the other members when one joins or leaves.
 */
public final class RendezvousHash {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long MIX_1 = 0xff51afd7ed558ccdL;
  private static final long MIX_2 = 0xc4ceb9fe1a85ec53L;
  private static final int MIX_SHIFT = 33;

  private record Scored(long score, String id) {}

  private RendezvousHash() {}

  /** Returns the score of a member for a key. */
  public static long score(String key, String id) {
    long hash = FNV_OFFSET;
    hash = hashChars(hash, key);
    hash = (hash ^ Character.MAX_VALUE) * FNV_PRIME;
    hash = hashChars(hash, id);
    // FNV alone gives similar strings similar high bits; the finalizer mixes them.
    hash = (hash ^ (hash >>> MIX_SHIFT)) * MIX_1;
    hash = (hash ^ (hash >>> MIX_SHIFT)) * MIX_2;
    return hash ^ (hash >>> MIX_SHIFT);
  }

  private static long hashChars(long seed, String text) {
    long hash = seed;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return hash;
  }

  /** Returns the distinct members in ascending order of their scores. */
  public static List<String> rank(String key, Collection<String> ids) {
    return ids.stream()
        .distinct()
        .map(id -> new Scored(score(key, id), id))
        .sorted(Comparator.comparingLong(Scored::score).thenComparing(Scored::id))
        .map(Scored::id)
        .toList();
  }

  /** Returns up to {@code count} members with the lowest scores for a task, in ascending order. */
  public static List<Member> lowest(Collection<Member> members, String task, int count) {
    Comparator<Member> byScore = Comparator.comparingLong(member -> score(task, member.hostId()));
    return members.stream().sorted(byScore.thenComparing(Member::hostId)).limit(count).toList();
  }
}
