package org.acaciapond.protocol.codec;

import java.io.IOException;
import org.acaciapond.protocol.message.VersionAckMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Codec of {@link VersionAckMessage}. */
public final class VersionAckMessageCodec implements MessageCodec<VersionAckMessage> {

  private static final int TYPE_ID = 24;

  @Override
  public int typeId() {
    return TYPE_ID;
  }

  @Override
  public Class<VersionAckMessage> type() {
    return VersionAckMessage.class;
  }

  @Override
  public void encode(VersionAckMessage message, MessagePacker packer) throws IOException {
    packer.packString(message.hostId());
    WireFormat.packVersion(message.version(), packer);
  }

  @Override
  public VersionAckMessage decode(MessageUnpacker unpacker) throws IOException {
    return new VersionAckMessage(unpacker.unpackString(), WireFormat.unpackVersion(unpacker));
  }
}
