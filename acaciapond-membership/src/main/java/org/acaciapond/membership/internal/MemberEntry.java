package org.acaciapond.membership.internal;

import org.acaciapond.membership.Member;
import org.acaciapond.membership.MemberState;

/** Member as held in the table, with local bookkeeping. */
public final class MemberEntry {

  final long id;
  private Member member;
  private long changedAtMs;
  int domainIndex;

  MemberEntry(long id, Member member, long nowMs) {
    this.id = id;
    this.member = member;
    this.changedAtMs = nowMs;
  }

  /** Returns the record. */
  public Member member() {
    return member;
  }

  /** Returns when the record last changed here. */
  public long changedAtMs() {
    return changedAtMs;
  }

  /** Returns whether the member left or died. */
  public boolean isTombstone() {
    return isTombstone(member.state());
  }

  /** Returns whether a state is that of a member that left or died. */
  public static boolean isTombstone(MemberState state) {
    return state == MemberState.LEFT || state == MemberState.DEAD;
  }

  void replace(Member next, long nowMs) {
    this.member = next;
    this.changedAtMs = nowMs;
  }

  void shiftTime(long byMs) {
    this.changedAtMs += byMs;
  }
}
