package org.acaciapond.protocol.codec;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.acaciapond.protocol.message.AnnounceMessage;
import org.acaciapond.protocol.message.MemberRecord;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Codec of {@link AnnounceMessage}. */
public final class AnnounceMessageCodec implements MessageCodec<AnnounceMessage> {

  private static final int TYPE_ID = 1;
  private static final int MAX_MEMBERS = 100_000;

  @Override
  public int typeId() {
    return TYPE_ID;
  }

  @Override
  public Class<AnnounceMessage> type() {
    return AnnounceMessage.class;
  }

  @Override
  public void encode(AnnounceMessage message, MessagePacker packer) throws IOException {
    packer.packArrayHeader(message.members().size());
    for (MemberRecord member : message.members()) {
      packer.packString(member.hostId());
      packer.packLong(member.incarnation());
      packer.packString(member.ip());
      packer.packInt(member.peerPort());
      packer.packInt(member.inboundPort());
      packer.packString(member.failureDomain());
      packer.packString(member.service());
      packer.packString(member.targetVersion());
      packer.packInt(member.weight());
      packer.packBoolean(member.leaving());
    }
  }

  @Override
  public AnnounceMessage decode(MessageUnpacker unpacker) throws IOException {
    int count = unpacker.unpackArrayHeader();
    if (count > MAX_MEMBERS) {
      throw new IOException("too many members: " + count);
    }
    List<MemberRecord> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(
          new MemberRecord(
              unpacker.unpackString(),
              unpacker.unpackLong(),
              unpacker.unpackString(),
              unpacker.unpackInt(),
              unpacker.unpackInt(),
              unpacker.unpackString(),
              unpacker.unpackString(),
              unpacker.unpackString(),
              unpacker.unpackInt(),
              unpacker.unpackBoolean()));
    }
    return new AnnounceMessage(members);
  }
}
