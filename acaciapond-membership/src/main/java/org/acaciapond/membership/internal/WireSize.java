package org.acaciapond.membership.internal;

import java.nio.charset.StandardCharsets;
import org.acaciapond.membership.GossipEntry;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MembershipBody;
import org.acaciapond.membership.MembershipPacket;

/** Upper bounds of encoded sizes; the codec tests check them against the real encoding. */
public final class WireSize {

  /** Largest encoded size of a MessagePack integer. */
  private static final int LONG_BYTES = 9;

  private static final int INT_BYTES = 5;
  private static final int SHORT_BYTES = 3;

  /** Largest header of a string or of binary data within a packet. */
  private static final int HEADER_BYTES = 3;

  private WireSize() {}

  /** Returns the maximum encoded size of a string. */
  public static int of(String text) {
    return HEADER_BYTES + text.getBytes(StandardCharsets.UTF_8).length;
  }

  /** Returns the maximum encoded size of a member. */
  public static int of(Member member) {
    return of(member.hostId())
        + of(member.ip())
        + of(member.failureDomain())
        + of(member.region())
        + of(member.service())
        + of(member.targetVersion())
        + LONG_BYTES
        + 2 * SHORT_BYTES
        + INT_BYTES
        + 1;
  }

  /** Returns the maximum encoded size of a replicated value. */
  public static int of(GossipEntry entry) {
    return of(entry.key()) + LONG_BYTES + HEADER_BYTES + entry.value().length;
  }

  /** Returns the maximum encoded size of a packet. */
  public static int of(MembershipPacket packet) {
    int bytes = headerBytes(packet) + of(packet.body());
    for (Member member : packet.members()) {
      bytes += of(member);
    }
    for (GossipEntry entry : packet.entries()) {
      bytes += of(entry);
    }
    return bytes;
  }

  private static int of(MembershipBody body) {
    if (body instanceof MembershipBody.Digests digests) {
      return HEADER_BYTES + Integer.BYTES * digests.buckets().length;
    }
    if (body instanceof MembershipBody.Summary summary) {
      return INT_BYTES + HEADER_BYTES + (Long.BYTES + Integer.BYTES) * summary.ids().length + 1;
    }
    if (body instanceof MembershipBody.ItemRequest request) {
      return HEADER_BYTES + Long.BYTES * request.ids().length;
    }
    if (body instanceof MembershipBody.PingRequest request) {
      return LONG_BYTES + of(request.target().ip()) + SHORT_BYTES;
    }
    return LONG_BYTES;
  }

  private static int headerBytes(MembershipPacket packet) {
    return 2 * INT_BYTES
        + of(packet.senderId())
        + LONG_BYTES
        + of(packet.sender().ip())
        + SHORT_BYTES
        + 2 * HEADER_BYTES;
  }
}
