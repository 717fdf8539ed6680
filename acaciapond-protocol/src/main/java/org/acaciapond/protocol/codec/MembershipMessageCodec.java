package org.acaciapond.protocol.codec;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.acaciapond.membership.GossipEntry;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MemberState;
import org.acaciapond.membership.MembershipPacket;
import org.acaciapond.membership.NodeAddress;
import org.acaciapond.protocol.message.MembershipMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Codec of {@link MembershipMessage}. */
public final class MembershipMessageCodec implements MessageCodec<MembershipMessage> {

  private static final int TYPE_ID = 2;
  private static final int MAX_PORT = 65_535;

  /**
   * Largest incarnation accepted. Incarnations start at the epoch time in milliseconds; a member
   * with one close to the limit of a long could not be superseded by a later incarnation.
   */
  private static final long MAX_INCARNATION = 1L << 60;

  private static final MemberState[] STATES = MemberState.values();

  @Override
  public int typeId() {
    return TYPE_ID;
  }

  @Override
  public Class<MembershipMessage> type() {
    return MembershipMessage.class;
  }

  @Override
  public int maxBytes() {
    return MembershipPacket.MAX_BYTES;
  }

  @Override
  public void encode(MembershipMessage message, MessagePacker packer) throws IOException {
    MembershipPacket packet = message.packet();
    packer.packString(packet.senderId());
    packer.packLong(packet.senderIncarnation());
    packAddress(packet.sender(), packer);
    MembershipBodyCodec.encode(packet.body(), packer);
    packer.packArrayHeader(packet.members().size());
    for (Member member : packet.members()) {
      packMember(member, packer);
    }
    packer.packArrayHeader(packet.entries().size());
    for (GossipEntry entry : packet.entries()) {
      packer.packString(entry.key());
      packer.packLong(entry.revision());
      packer.packBinaryHeader(entry.value().length);
      packer.writePayload(entry.value());
    }
  }

  @Override
  public MembershipMessage decode(MessageUnpacker unpacker) throws IOException {
    return new MembershipMessage(
        new MembershipPacket(
            unpackString(unpacker),
            unpackIncarnation(unpacker),
            unpackAddress(unpacker),
            MembershipBodyCodec.decode(unpacker),
            unpackMembers(unpacker),
            unpackEntries(unpacker)));
  }

  private static List<Member> unpackMembers(MessageUnpacker unpacker) throws IOException {
    int count = unpackLength(unpacker.unpackArrayHeader());
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(unpackMember(unpacker));
    }
    return members;
  }

  private static List<GossipEntry> unpackEntries(MessageUnpacker unpacker) throws IOException {
    int count = unpackLength(unpacker.unpackArrayHeader());
    List<GossipEntry> entries = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String key = unpackString(unpacker);
      long revision = unpacker.unpackLong();
      byte[] value = unpackBytes(unpacker);
      entries.add(new GossipEntry(key, revision, value));
    }
    return entries;
  }

  private static void packMember(Member member, MessagePacker packer) throws IOException {
    packer.packString(member.hostId());
    packer.packLong(member.incarnation());
    packer.packString(member.ip());
    packer.packInt(member.peerPort());
    packer.packInt(member.inboundPort());
    packer.packString(member.failureDomain());
    packer.packString(member.region());
    packer.packString(member.service());
    packer.packString(member.targetVersion());
    packer.packInt(member.weight());
    packer.packInt(member.state().ordinal());
  }

  private static Member unpackMember(MessageUnpacker unpacker) throws IOException {
    return new Member(
        unpackString(unpacker),
        unpackIncarnation(unpacker),
        unpackString(unpacker),
        unpackPort(unpacker),
        unpackPort(unpacker),
        unpackString(unpacker),
        unpackString(unpacker),
        unpackString(unpacker),
        unpackString(unpacker),
        unpackWeight(unpacker),
        unpackState(unpacker));
  }

  private static long unpackIncarnation(MessageUnpacker unpacker) throws IOException {
    long incarnation = unpacker.unpackLong();
    if (incarnation < 0 || incarnation > MAX_INCARNATION) {
      throw new IOException("incarnation " + incarnation);
    }
    return incarnation;
  }

  private static int unpackWeight(MessageUnpacker unpacker) throws IOException {
    int weight = unpacker.unpackInt();
    if (weight < 1) {
      throw new IOException("weight " + weight);
    }
    return weight;
  }

  private static MemberState unpackState(MessageUnpacker unpacker) throws IOException {
    int stateIndex = unpacker.unpackInt();
    if (stateIndex < 0 || stateIndex >= STATES.length) {
      throw new IOException("unknown state " + stateIndex);
    }
    return STATES[stateIndex];
  }

  static void packAddress(NodeAddress address, MessagePacker packer) throws IOException {
    packer.packString(address.ip());
    packer.packInt(address.port());
  }

  static NodeAddress unpackAddress(MessageUnpacker unpacker) throws IOException {
    return new NodeAddress(unpackString(unpacker), unpackPort(unpacker));
  }

  private static int unpackPort(MessageUnpacker unpacker) throws IOException {
    int port = unpacker.unpackInt();
    if (port < 0 || port > MAX_PORT) {
      throw new IOException("port " + port);
    }
    return port;
  }

  /** Reads a string; its announced length is checked before memory is allocated for it. */
  private static String unpackString(MessageUnpacker unpacker) throws IOException {
    int length = unpackLength(unpacker.unpackRawStringHeader());
    return new String(unpacker.readPayload(length), StandardCharsets.UTF_8);
  }

  static byte[] unpackBytes(MessageUnpacker unpacker) throws IOException {
    return unpacker.readPayload(unpackLength(unpacker.unpackBinaryHeader()));
  }

  private static int unpackLength(int length) throws IOException {
    if (length < 0 || length > MembershipPacket.MAX_BYTES) {
      throw new IOException("length " + length);
    }
    return length;
  }
}
