package org.acaciapond.membership;

import java.util.List;

/** Read-only view of the members; safe to read from any thread. */
public interface MembershipView {

  /** Returns the record of this node. */
  Member self();

  /**
   * Returns the alive and suspected members of a failure domain, including this node in its own.
   */
  List<Member> domainMembers(String failureDomain);

  /** Returns the alive and suspected members of all failure domains, including this node. */
  List<Member> members();
}
