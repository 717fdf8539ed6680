package org.acaciapond.protocol.codec;

import java.io.IOException;
import org.acaciapond.protocol.message.LivenessMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Codec of {@link LivenessMessage}. */
public final class LivenessMessageCodec implements MessageCodec<LivenessMessage> {

  private static final int TYPE_ID = 1;
  private static final int MAX_MESSAGE_BYTES = 8;

  @Override
  public int typeId() {
    return TYPE_ID;
  }

  @Override
  public Class<LivenessMessage> type() {
    return LivenessMessage.class;
  }

  @Override
  public int maxBytes() {
    return MAX_MESSAGE_BYTES;
  }

  @Override
  public void encode(LivenessMessage message, MessagePacker packer) throws IOException {
    packer.packBoolean(message.response());
  }

  @Override
  public LivenessMessage decode(MessageUnpacker unpacker) throws IOException {
    return new LivenessMessage(unpacker.unpackBoolean());
  }
}
