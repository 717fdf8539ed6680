package org.acaciapond.membership.internal;

import org.acaciapond.membership.Member;
import org.acaciapond.membership.MemberState;

/** Mutable state of the local node; each change raises its incarnation. */
public final class LocalMember {

  private final Member initial;
  private long incarnation;
  private String service;
  private String targetVersion;
  private int weight;
  private boolean targetLeaving;
  private boolean catchingUp;
  private MemberState nodeState = MemberState.ALIVE;

  /** Creates the state of a starting node from its initial record. */
  public LocalMember(Member initial) {
    this.initial = initial;
    this.incarnation = initial.incarnation();
    this.service = initial.service();
    this.targetVersion = initial.targetVersion();
    this.weight = initial.weight();
  }

  /** Returns the record to announce; it has no target while the node is catching up. */
  public Member toMember() {
    return new Member(
        initial.hostId(),
        incarnation,
        initial.ip(),
        initial.peerPort(),
        initial.inboundPort(),
        initial.failureDomain(),
        initial.region(),
        catchingUp ? "" : service,
        catchingUp ? "" : targetVersion,
        weight,
        nodeState == MemberState.ALIVE && targetLeaving ? MemberState.LEAVING : nodeState);
  }

  /** Returns whether the node must catch up before it announces its target. */
  public boolean isCatchingUp() {
    return catchingUp;
  }

  /** Returns whether the node has announced its departure. */
  public boolean hasLeft() {
    return nodeState == MemberState.LEFT;
  }

  /** Raises the incarnation above one that another node reported. */
  public void raiseIncarnationAbove(long otherIncarnation) {
    incarnation = Math.max(incarnation, otherIncarnation) + 1;
  }

  /** Sets whether the node must catch up before it announces its target. */
  public void setCatchingUp(boolean catchingUp) {
    this.catchingUp = catchingUp;
    incarnation++;
  }

  /** Sets the state of the node, for instance when it leaves. */
  public void setNodeState(MemberState nodeState) {
    this.nodeState = nodeState;
    incarnation++;
  }

  /** Sets the target; returns whether anything changed. */
  public boolean setTarget(String service, String targetVersion, int weight, boolean leaving) {
    boolean unchanged =
        this.service.equals(service)
            && this.targetVersion.equals(targetVersion)
            && this.weight == weight
            && this.targetLeaving == leaving;
    if (unchanged) {
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
