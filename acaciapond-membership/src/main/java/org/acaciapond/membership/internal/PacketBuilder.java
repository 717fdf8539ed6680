package org.acaciapond.membership.internal;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.acaciapond.membership.GossipEntry;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MembershipBody;
import org.acaciapond.membership.MembershipPacket;
import org.acaciapond.membership.NodeAddress;

/** Builder of a packet that stays within {@link MembershipPacket#MAX_BYTES}. */
public final class PacketBuilder {

  private final Member self;
  private final MembershipBody body;
  private final Map<String, Member> members = new LinkedHashMap<>();
  private final Map<String, GossipEntry> entries = new LinkedHashMap<>();
  private int bytes;

  /** Creates a builder of a packet from this node. */
  public PacketBuilder(Member self, MembershipBody body) {
    this.self = self;
    this.body = body;
    this.bytes = WireSize.of(build());
  }

  /** Adds a member unless it is present already; returns false if it does not fit. */
  public boolean add(Member member) {
    if (members.containsKey(member.hostId())) {
      return true;
    }
    int size = WireSize.of(member);
    if (bytes + size > MembershipPacket.MAX_BYTES) {
      return false;
    }
    bytes += size;
    members.put(member.hostId(), member);
    return true;
  }

  /** Adds a replicated value unless it is present already; returns false if it does not fit. */
  public boolean add(GossipEntry entry) {
    if (entries.containsKey(entry.key())) {
      return true;
    }
    int size = WireSize.of(entry);
    if (bytes + size > MembershipPacket.MAX_BYTES) {
      return false;
    }
    bytes += size;
    entries.put(entry.key(), entry);
    return true;
  }

  /** Returns whether no member and no value was added. */
  public boolean isEmpty() {
    return members.isEmpty() && entries.isEmpty();
  }

  /** Returns the packet. */
  public MembershipPacket build() {
    return new MembershipPacket(
        self.hostId(),
        self.incarnation(),
        NodeAddress.of(self),
        body,
        List.copyOf(members.values()),
        List.copyOf(entries.values()));
  }
}
