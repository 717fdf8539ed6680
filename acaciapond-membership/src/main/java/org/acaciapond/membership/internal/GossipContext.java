package org.acaciapond.membership.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.acaciapond.membership.GossipEntry;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MembershipAction;
import org.acaciapond.membership.MembershipBody;
import org.acaciapond.membership.MembershipSettings;
import org.acaciapond.membership.NodeAddress;

/** State shared by the components of the protocol, and the actions they have queued. */
public final class GossipContext {

  /** Key of the replicated configuration head, which every message with updates carries. */
  public static final String HEAD_KEY = "head";

  final MembershipSettings settings;
  final MemberTable table;
  final ReplicatedStore store;
  final UpdateQueue updates;
  final RandomGenerator random;
  private Member self;
  private long nowMs;
  private List<MembershipAction> actions = new ArrayList<>();

  /** Creates a context without queued actions. */
  public GossipContext(
      MembershipSettings settings,
      MemberTable table,
      ReplicatedStore store,
      RandomGenerator random,
      Member self,
      long nowMs) {
    this.settings = settings;
    this.table = table;
    this.store = store;
    this.random = random;
    this.self = self;
    this.nowMs = nowMs;
    this.updates = new UpdateQueue(table, store, settings, nowMs);
  }

  /** Sets the current time and refills the byte allowance of the updates. */
  public void advance(long nowMs) {
    this.nowMs = nowMs;
    updates.refill(nowMs);
  }

  long nowMs() {
    return nowMs;
  }

  /** Returns the updates queued for other nodes. */
  public UpdateQueue updates() {
    return updates;
  }

  /** Returns the record of this node. */
  public Member self() {
    return self;
  }

  /** Replaces the record of this node. */
  public void setSelf(Member self) {
    this.self = self;
  }

  boolean isSelf(Member member) {
    return member.hostId().equals(self.hostId());
  }

  /** Queues an action for the caller of the state machine. */
  public void addAction(MembershipAction action) {
    actions.add(action);
  }

  /** Returns the queued actions and clears the queue. */
  public List<MembershipAction> drainActions() {
    List<MembershipAction> result = actions;
    actions = new ArrayList<>();
    return result;
  }

  /** Sends a message with the configuration head and as many queued updates as fit. */
  public void sendWithUpdates(NodeAddress to, MembershipBody body) {
    sendWithUpdates(to, new PacketBuilder(self, body));
  }

  /** Sends a message with the configuration head and as many queued updates as fit. */
  public void sendWithUpdates(NodeAddress to, PacketBuilder packet) {
    GossipEntry head = store.find(HEAD_KEY);
    if (head != null) {
      packet.add(head);
    }
    updates.fill(packet);
    send(to, packet);
  }

  void sendWithoutUpdates(NodeAddress to, MembershipBody body) {
    send(to, new PacketBuilder(self, body));
  }

  void send(NodeAddress to, PacketBuilder packet) {
    actions.add(new MembershipAction.Send(to, packet.build()));
  }

  /** Sends members and values, split over as many packets as needed. */
  void sendItems(NodeAddress to, List<Member> members, List<GossipEntry> entries) {
    PacketBuilder packet = new PacketBuilder(self, new MembershipBody.Updates());
    for (Member member : members) {
      if (!packet.add(member)) {
        send(to, packet);
        packet = new PacketBuilder(self, new MembershipBody.Updates());
        packet.add(member);
      }
    }
    for (GossipEntry entry : entries) {
      if (!packet.add(entry)) {
        send(to, packet);
        packet = new PacketBuilder(self, new MembershipBody.Updates());
        packet.add(entry);
      }
    }
    if (!packet.isEmpty()) {
      send(to, packet);
    }
  }

  /** Returns an interval randomized by up to 20% either way, so that nodes do not act in step. */
  long jitter(long intervalMs) {
    return intervalMs * 4 / 5 + random.nextLong(Math.max(1, intervalMs * 2 / 5));
  }
}
