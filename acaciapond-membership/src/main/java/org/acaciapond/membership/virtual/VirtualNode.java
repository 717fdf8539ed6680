package org.acaciapond.membership.virtual;

import java.util.ArrayList;
import java.util.List;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MembershipState;
import org.acaciapond.membership.NodeAddress;

/** Simulated node of a {@link VirtualFleet}. */
public final class VirtualNode {

  final NodeAddress address;
  final Member template;
  final List<Runnable> pendingDeliveries = new ArrayList<>();
  MembershipState state;
  int generation;
  boolean running = true;
  boolean paused;
  long sentBytes;
  long sentMessages;
  private String group;

  VirtualNode(Member template, MembershipState state) {
    this.template = template;
    this.address = NodeAddress.of(template);
    this.state = state;
    this.group = template.failureDomain();
  }

  /** Returns the host id. */
  public String hostId() {
    return template.hostId();
  }

  /** Returns the failure domain. */
  public String failureDomain() {
    return template.failureDomain();
  }

  /** Returns the state machine of the current process on the host. */
  public MembershipState state() {
    return state;
  }

  /** Returns the number of restarts of the node. */
  public int generation() {
    return generation;
  }

  /** Returns whether the process is running. */
  public boolean isRunning() {
    return running;
  }

  /** Returns whether the process is paused. */
  public boolean isPaused() {
    return paused;
  }

  /** Returns the bytes sent since the node was added. */
  public long sentBytes() {
    return sentBytes;
  }

  /** Returns the number of messages sent since the node was added. */
  public long sentMessages() {
    return sentMessages;
  }

  /** Returns the group used to cut links; initially the failure domain. */
  public String group() {
    return group;
  }

  /** Sets the group used to cut links. */
  public void setGroup(String group) {
    this.group = group;
  }
}
