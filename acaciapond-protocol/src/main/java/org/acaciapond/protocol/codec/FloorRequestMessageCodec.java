package org.acaciapond.protocol.codec;

import java.io.IOException;
import org.acaciapond.protocol.message.FloorRequestMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Codec of {@link FloorRequestMessage}. */
public final class FloorRequestMessageCodec implements MessageCodec<FloorRequestMessage> {

  private static final int TYPE_ID = 26;

  @Override
  public int typeId() {
    return TYPE_ID;
  }

  @Override
  public Class<FloorRequestMessage> type() {
    return FloorRequestMessage.class;
  }

  @Override
  public void encode(FloorRequestMessage message, MessagePacker packer) throws IOException {
    packer.packString(message.hostId());
  }

  @Override
  public FloorRequestMessage decode(MessageUnpacker unpacker) throws IOException {
    return new FloorRequestMessage(unpacker.unpackString());
  }
}
