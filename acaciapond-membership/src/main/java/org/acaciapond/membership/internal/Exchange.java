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

/** State that the parts of the protocol share, and the actions that they decide on. */
public final class Exchange {

  /** Key of the replicated head of the configuration, which every message carries. */
  public static final String HEAD_KEY = "head";

  final MembershipSettings settings;
  final MemberTable table;
  final ReplicatedStore store;
  final UpdateQueue updates;
  final RandomGenerator random;
  private Member self;
  private long nowMs;
  private List<MembershipAction> actions = new ArrayList<>();

  /** Creates the shared state. */
  public Exchange(
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

  /** Sets the time of the current call. */
  public void advance(long nowMs) {
    this.nowMs = nowMs;
    updates.refill(nowMs);
  }

  long nowMs() {
    return nowMs;
  }

  /** Returns the updates that wait to be passed on. */
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

  /** Adds an action that is not a message. */
  public void act(MembershipAction action) {
    actions.add(action);
  }

  /** Returns and forgets the actions decided on. */
  public List<MembershipAction> drain() {
    List<MembershipAction> result = actions;
    actions = new ArrayList<>();
    return result;
  }

  /** Sends a message with the head and as many waiting updates as fit. */
  public void sendWithUpdates(NodeAddress to, MembershipBody body) {
    sendWithUpdates(to, new PacketBuilder(self, body));
  }

  /** Sends a message with the head and as many waiting updates as fit. */
  public void sendWithUpdates(NodeAddress to, PacketBuilder packet) {
    GossipEntry head = store.find(HEAD_KEY);
    if (head != null) {
      packet.add(head);
    }
    updates.fill(packet);
    send(to, packet);
  }

  void sendBare(NodeAddress to, MembershipBody body) {
    send(to, new PacketBuilder(self, body));
  }

  void send(NodeAddress to, PacketBuilder packet) {
    actions.add(new MembershipAction.Send(to, packet.build()));
  }

  /** Sends members and values in as many messages as they need. */
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

  /** Returns an interval shortened or lengthened by up to a fifth, so that nodes spread out. */
  long jitter(long intervalMs) {
    return intervalMs * 4 / 5 + random.nextLong(Math.max(1, intervalMs * 2 / 5));
  }
}
