package org.acaciapond.node.distribution;

import java.util.List;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MemberState;
import org.acaciapond.membership.MembershipView;
import org.acaciapond.node.membership.AnnounceService;
import org.acaciapond.protocol.message.MemberRecord;

/** View of the members that {@link AnnounceService} knows. */
public final class AnnounceMembershipView implements MembershipView {

  private final AnnounceService announce;
  private final String region;

  /** Creates a view; announcements carry no region, so all members get that of this node. */
  public AnnounceMembershipView(AnnounceService announce, String region) {
    this.announce = announce;
    this.region = region;
  }

  @Override
  public Member self() {
    return toMember(announce.selfRecord());
  }

  @Override
  public List<Member> domainMembers(String failureDomain) {
    return members().stream().filter(m -> m.failureDomain().equals(failureDomain)).toList();
  }

  @Override
  public List<Member> members() {
    return announce.knownRecords().stream().map(this::toMember).toList();
  }

  private Member toMember(MemberRecord record) {
    return new Member(
        record.hostId(),
        record.incarnation(),
        record.ip(),
        record.peerPort(),
        record.inboundPort(),
        record.failureDomain(),
        region,
        record.service(),
        record.targetVersion(),
        record.weight(),
        record.leaving() ? MemberState.LEAVING : MemberState.ALIVE);
  }
}
