package org.acaciapond.protocol.codec;

import java.io.IOException;
import org.acaciapond.protocol.message.InviteMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Codec of {@link InviteMessage}. */
public final class InviteMessageCodec implements MessageCodec<InviteMessage> {

  private static final int TYPE_ID = 20;

  @Override
  public int typeId() {
    return TYPE_ID;
  }

  @Override
  public Class<InviteMessage> type() {
    return InviteMessage.class;
  }

  @Override
  public void encode(InviteMessage message, MessagePacker packer) throws IOException {
    packer.packString(message.hostId());
    packer.packString(message.domain());
  }

  @Override
  public InviteMessage decode(MessageUnpacker unpacker) throws IOException {
    return new InviteMessage(unpacker.unpackString(), unpacker.unpackString());
  }
}
