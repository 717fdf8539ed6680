package org.acaciapond.membership;

import java.util.List;

/** Read-only view of the members; safe to read from any thread. */
public interface MembershipView {

  /** Returns the record of this node. */
  Member self();

  /** Returns the members of a failure domain that are alive or suspected, this node among them. */
  List<Member> domainMembers(String failureDomain);

  /** Returns the members of all failure domains that are alive or suspected. */
  List<Member> members();
}
