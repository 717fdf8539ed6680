package org.acaciapond.membership;

import java.util.Comparator;
import java.util.List;
import org.acaciapond.membership.internal.ItemHash;

/** Order of members for a task, on which all nodes agree without messages. */
public final class RendezvousRank {

  private RendezvousRank() {}

  /** Returns up to a number of members of lowest rank for a task, in the order of their rank. */
  public static List<Member> lowest(List<Member> members, String task, int count) {
    Comparator<Member> byRank =
        Comparator.comparingLong(member -> ItemHash.ofEntry(task + "/" + member.hostId()));
    return members.stream().sorted(byRank.thenComparing(Member::hostId)).limit(count).toList();
  }
}
