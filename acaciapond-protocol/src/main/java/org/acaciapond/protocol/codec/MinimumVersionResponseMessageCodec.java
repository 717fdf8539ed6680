package org.acaciapond.protocol.codec;

import java.io.IOException;
import org.acaciapond.protocol.message.MinimumVersionResponseMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Codec of {@link MinimumVersionResponseMessage}. */
public final class MinimumVersionResponseMessageCodec
    implements MessageCodec<MinimumVersionResponseMessage> {

  private static final int TYPE_ID = 27;

  @Override
  public int typeId() {
    return TYPE_ID;
  }

  @Override
  public Class<MinimumVersionResponseMessage> type() {
    return MinimumVersionResponseMessage.class;
  }

  @Override
  public void encode(MinimumVersionResponseMessage message, MessagePacker packer)
      throws IOException {
    packer.packString(message.hostId());
    WireFormat.packVersion(message.highestVersion(), packer);
  }

  @Override
  public MinimumVersionResponseMessage decode(MessageUnpacker unpacker) throws IOException {
    return new MinimumVersionResponseMessage(
        unpacker.unpackString(), WireFormat.unpackVersion(unpacker));
  }
}
