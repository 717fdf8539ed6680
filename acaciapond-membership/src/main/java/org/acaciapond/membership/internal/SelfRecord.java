package org.acaciapond.membership.internal;

import org.acaciapond.membership.Member;
import org.acaciapond.membership.MemberState;

/** Record of this node, built anew with a higher incarnation at each change. */
public final class SelfRecord {

  private final Member base;
  private long incarnation;
  private String service;
  private String targetVersion;
  private int weight;
  private boolean targetLeaving;
  private boolean catchingUp;
  private MemberState nodeState = MemberState.ALIVE;

  /** Creates the record of a node that starts. */
  public SelfRecord(Member base) {
    this.base = base;
    this.incarnation = base.incarnation();
    this.service = base.service();
    this.targetVersion = base.targetVersion();
    this.weight = base.weight();
  }

  /** Returns the record; a node that must catch up announces no target. */
  public Member record() {
    return new Member(
        base.hostId(),
        incarnation,
        base.ip(),
        base.peerPort(),
        base.inboundPort(),
        base.failureDomain(),
        base.region(),
        catchingUp ? "" : service,
        catchingUp ? "" : targetVersion,
        weight,
        nodeState == MemberState.ALIVE && targetLeaving ? MemberState.LEAVING : nodeState);
  }

  /** Returns whether the node must catch up before it takes part. */
  public boolean isCatchingUp() {
    return catchingUp;
  }

  /** Returns whether the node has announced that it left. */
  public boolean hasLeft() {
    return nodeState == MemberState.LEFT;
  }

  /** Raises the incarnation above one that was heard of. */
  public void raiseAbove(long heard) {
    incarnation = Math.max(incarnation, heard) + 1;
  }

  /** Sets whether the node must catch up. */
  public void setCatchingUp(boolean catchingUp) {
    this.catchingUp = catchingUp;
    incarnation++;
  }

  /** Sets the state of the node. */
  public void setNodeState(MemberState nodeState) {
    this.nodeState = nodeState;
    incarnation++;
  }

  /** Sets the target; returns whether that is a change. */
  public boolean setTarget(String service, String targetVersion, int weight, boolean leaving) {
    boolean same =
        this.service.equals(service)
            && this.targetVersion.equals(targetVersion)
            && this.weight == weight
            && this.targetLeaving == leaving;
    if (same) {
      return false;
    }
    this.service = service;
    this.targetVersion = targetVersion;
    this.weight = weight;
    this.targetLeaving = leaving;
    incarnation++;
    return true;
  }
}
