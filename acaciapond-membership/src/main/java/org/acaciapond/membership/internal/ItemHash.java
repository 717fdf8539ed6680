package org.acaciapond.membership.internal;

import org.acaciapond.membership.GossipEntry;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MemberState;
import org.acaciapond.membership.MembershipBody;

/** Hash functions by which nodes compare members and replicated values. */
public final class ItemHash {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private ItemHash() {}

  /** Returns the hash of the identity of a member. */
  public static long ofMember(String hostId) {
    return ofString("m", hostId);
  }

  /** Returns the hash of the identity of a replicated value. */
  public static long ofEntry(String key) {
    return ofString("e", key);
  }

  /** Returns the bucket of an identity. */
  public static int bucket(long id) {
    return (int) (id >>> 56) & (MembershipBody.BUCKETS - 1);
  }

  /** Returns the hash of the version of a member; a suspicion does not change it. */
  public static int version(long id, Member member) {
    long leaving = member.state() == MemberState.LEAVING ? 1 : 0;
    return (int) mix(id ^ mix(member.incarnation() * 2 + leaving));
  }

  /** Returns the hash of the version of a replicated value. */
  public static int version(long id, GossipEntry entry) {
    return (int) mix(id ^ mix(entry.revision()));
  }

  private static long ofString(String kind, String text) {
    long hash = (FNV_OFFSET ^ kind.charAt(0)) * FNV_PRIME;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return mix(hash);
  }

  private static long mix(long value) {
    long z = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
    return z ^ (z >>> 31);
  }
}
