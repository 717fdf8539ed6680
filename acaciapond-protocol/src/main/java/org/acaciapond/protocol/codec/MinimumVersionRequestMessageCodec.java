package org.acaciapond.protocol.codec;

import java.io.IOException;
import org.acaciapond.protocol.message.MinimumVersionRequestMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Codec of {@link MinimumVersionRequestMessage}. */
public final class MinimumVersionRequestMessageCodec
    implements MessageCodec<MinimumVersionRequestMessage> {

  private static final int TYPE_ID = 26;

  @Override
  public int typeId() {
    return TYPE_ID;
  }

  @Override
  public Class<MinimumVersionRequestMessage> type() {
    return MinimumVersionRequestMessage.class;
  }

  @Override
  public void encode(MinimumVersionRequestMessage message, MessagePacker packer)
      throws IOException {
    packer.packString(message.hostId());
  }

  @Override
  public MinimumVersionRequestMessage decode(MessageUnpacker unpacker) throws IOException {
    return new MinimumVersionRequestMessage(unpacker.unpackString());
  }
}
