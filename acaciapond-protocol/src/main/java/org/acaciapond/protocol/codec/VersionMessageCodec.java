package org.acaciapond.protocol.codec;

import java.io.IOException;
import org.acaciapond.protocol.message.VersionMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Codec of {@link VersionMessage}. */
public final class VersionMessageCodec implements MessageCodec<VersionMessage> {

  private static final int TYPE_ID = 23;

  @Override
  public int typeId() {
    return TYPE_ID;
  }

  @Override
  public Class<VersionMessage> type() {
    return VersionMessage.class;
  }

  @Override
  public void encode(VersionMessage message, MessagePacker packer) throws IOException {
    WireFormat.packVersion(message.version(), packer);
    WireFormat.packHex(message.contentDigestStart(), packer);
  }

  @Override
  public VersionMessage decode(MessageUnpacker unpacker) throws IOException {
    return new VersionMessage(WireFormat.unpackVersion(unpacker), WireFormat.unpackHex(unpacker));
  }
}
