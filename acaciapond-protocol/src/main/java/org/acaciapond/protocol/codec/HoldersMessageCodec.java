package org.acaciapond.protocol.codec;

import java.io.IOException;
import org.acaciapond.protocol.message.HoldersMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Codec of {@link HoldersMessage}. */
public final class HoldersMessageCodec implements MessageCodec<HoldersMessage> {

  private static final int TYPE_ID = 25;

  @Override
  public int typeId() {
    return TYPE_ID;
  }

  @Override
  public Class<HoldersMessage> type() {
    return HoldersMessage.class;
  }

  @Override
  public void encode(HoldersMessage message, MessagePacker packer) throws IOException {
    WireFormat.packVersion(message.version(), packer);
    packer.packInt(message.otherHolders());
  }

  @Override
  public HoldersMessage decode(MessageUnpacker unpacker) throws IOException {
    return new HoldersMessage(WireFormat.unpackVersion(unpacker), unpacker.unpackInt());
  }
}
