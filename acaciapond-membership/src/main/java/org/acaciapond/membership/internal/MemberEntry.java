package org.acaciapond.membership.internal;

import org.acaciapond.membership.Member;
import org.acaciapond.membership.MemberState;

/** Entry of the member table: a record with its local index data and time of change. */
public final class MemberEntry {

  final long id;
  private Member member;
  private long changedAtMs;
  int indexInDomain;

  MemberEntry(long id, Member member, long nowMs) {
    this.id = id;
    this.member = member;
    this.changedAtMs = nowMs;
  }

  /** Returns the record. */
  public Member member() {
    return member;
  }

  /** Returns the local time of the last change of the record. */
  public long changedAtMs() {
    return changedAtMs;
  }

  /** Returns whether the member left or failed. */
  public boolean isTombstone() {
    return isTombstone(member.state());
  }

  /** Returns whether a state is that of a member that left or failed. */
  public static boolean isTombstone(MemberState state) {
    return state == MemberState.LEFT || state == MemberState.DEAD;
  }

  void replace(Member newer, long nowMs) {
    this.member = newer;
    this.changedAtMs = nowMs;
  }

  void shiftTime(long durationMs) {
    this.changedAtMs += durationMs;
  }
}
