package org.acaciapond.protocol.codec;

import java.io.IOException;
import org.acaciapond.protocol.message.SubscribeMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Codec of {@link SubscribeMessage}. */
public final class SubscribeMessageCodec implements MessageCodec<SubscribeMessage> {

  private static final int TYPE_ID = 21;

  @Override
  public int typeId() {
    return TYPE_ID;
  }

  @Override
  public Class<SubscribeMessage> type() {
    return SubscribeMessage.class;
  }

  @Override
  public void encode(SubscribeMessage message, MessagePacker packer) throws IOException {
    packer.packString(message.hostId());
    packer.packString(message.domain());
    packer.packString(message.service());
    WireFormat.packVersion(message.currentVersion(), packer);
    WireFormat.packHex(message.currentDigest(), packer);
  }

  @Override
  public SubscribeMessage decode(MessageUnpacker unpacker) throws IOException {
    return new SubscribeMessage(
        unpacker.unpackString(),
        unpacker.unpackString(),
        unpacker.unpackString(),
        WireFormat.unpackVersion(unpacker),
        WireFormat.unpackHex(unpacker));
  }
}
