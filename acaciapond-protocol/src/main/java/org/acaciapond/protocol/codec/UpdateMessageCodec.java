package org.acaciapond.protocol.codec;

import java.io.IOException;
import org.acaciapond.protocol.message.UpdateMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Codec of {@link UpdateMessage}. */
public final class UpdateMessageCodec implements MessageCodec<UpdateMessage> {

  private static final int TYPE_ID = 22;

  @Override
  public int typeId() {
    return TYPE_ID;
  }

  @Override
  public Class<UpdateMessage> type() {
    return UpdateMessage.class;
  }

  @Override
  public void encode(UpdateMessage message, MessagePacker packer) throws IOException {
    WireFormat.packVersion(message.version(), packer);
    WireFormat.packHex(message.baseDigest(), packer);
    WireFormat.packSlices(message.changed(), packer);
    WireFormat.packNames(message.removed(), packer);
    WireFormat.packNames(message.callersAdded(), packer);
    WireFormat.packNames(message.callersRemoved(), packer);
    WireFormat.packHex(message.resultDigest(), packer);
  }

  @Override
  public UpdateMessage decode(MessageUnpacker unpacker) throws IOException {
    return new UpdateMessage(
        WireFormat.unpackVersion(unpacker),
        WireFormat.unpackHex(unpacker),
        WireFormat.unpackSlices(unpacker),
        WireFormat.unpackNames(unpacker),
        WireFormat.unpackNames(unpacker),
        WireFormat.unpackNames(unpacker),
        WireFormat.unpackHex(unpacker));
  }
}
