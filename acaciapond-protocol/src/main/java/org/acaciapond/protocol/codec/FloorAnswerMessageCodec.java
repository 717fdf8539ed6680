package org.acaciapond.protocol.codec;

import java.io.IOException;
import org.acaciapond.protocol.message.FloorAnswerMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Codec of {@link FloorAnswerMessage}. */
public final class FloorAnswerMessageCodec implements MessageCodec<FloorAnswerMessage> {

  private static final int TYPE_ID = 27;

  @Override
  public int typeId() {
    return TYPE_ID;
  }

  @Override
  public Class<FloorAnswerMessage> type() {
    return FloorAnswerMessage.class;
  }

  @Override
  public void encode(FloorAnswerMessage message, MessagePacker packer) throws IOException {
    packer.packString(message.hostId());
    WireFormat.packVersion(message.held(), packer);
  }

  @Override
  public FloorAnswerMessage decode(MessageUnpacker unpacker) throws IOException {
    return new FloorAnswerMessage(unpacker.unpackString(), WireFormat.unpackVersion(unpacker));
  }
}
