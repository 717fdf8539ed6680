package org.acaciapond.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Ranking of members that all nodes compute alike, and of which a join or leave moves only the
 * member concerned.
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
    hash = addChars(hash, key);
    hash = (hash ^ Character.MAX_VALUE) * FNV_PRIME;
    hash = addChars(hash, id);
    // FNV alone leaves the high bits of similar strings alike; the finaliser spreads them.
    hash = (hash ^ (hash >>> MIX_SHIFT)) * MIX_1;
    hash = (hash ^ (hash >>> MIX_SHIFT)) * MIX_2;
    return hash ^ (hash >>> MIX_SHIFT);
  }

  private static long addChars(long seed, String text) {
    long hash = seed;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return hash;
  }

  /** Returns the members from the lowest score to the highest. */
  public static List<String> rank(String key, Collection<String> ids) {
    return ids.stream()
        .distinct()
        .map(id -> new Scored(score(key, id), id))
        .sorted(Comparator.comparingLong(Scored::score).thenComparing(Scored::id))
        .map(Scored::id)
        .toList();
  }

  /** Returns up to a number of members of lowest score for a task, in the order of their score. */
  public static List<Member> lowest(Collection<Member> members, String task, int count) {
    Comparator<Member> byScore = Comparator.comparingLong(member -> score(task, member.hostId()));
    return members.stream().sorted(byScore.thenComparing(Member::hostId)).limit(count).toList();
  }
}
