package org.acaciapond.protocol.codec;

import java.io.IOException;
import org.acaciapond.protocol.message.HeldMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Codec of {@link HeldMessage}. */
public final class HeldMessageCodec implements MessageCodec<HeldMessage> {

  private static final int TYPE_ID = 24;

  @Override
  public int typeId() {
    return TYPE_ID;
  }

  @Override
  public Class<HeldMessage> type() {
    return HeldMessage.class;
  }

  @Override
  public void encode(HeldMessage message, MessagePacker packer) throws IOException {
    packer.packString(message.hostId());
    WireFormat.packVersion(message.version(), packer);
  }

  @Override
  public HeldMessage decode(MessageUnpacker unpacker) throws IOException {
    return new HeldMessage(unpacker.unpackString(), WireFormat.unpackVersion(unpacker));
  }
}
