package org.acaciapond.bench.converge;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MembershipView;

/** Members that all nodes of the experiment know from the start, so that only distribution runs. */
final class FixedMembers {

  private final List<Member> members = new CopyOnWriteArrayList<>();

  void add(Member member) {
    members.add(member);
  }

  /** Returns the view of one node. */
  MembershipView viewOf(Member self) {
    return new MembershipView() {
      @Override
      public Member self() {
        return self;
      }

      @Override
      public List<Member> domainMembers(String failureDomain) {
        return members.stream().filter(m -> m.failureDomain().equals(failureDomain)).toList();
      }

      @Override
      public List<Member> members() {
        return members;
      }
    };
  }
}
