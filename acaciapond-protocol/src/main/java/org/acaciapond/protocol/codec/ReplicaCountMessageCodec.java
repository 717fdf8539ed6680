package org.acaciapond.protocol.codec;

import java.io.IOException;
import org.acaciapond.protocol.message.ReplicaCountMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Codec of {@link ReplicaCountMessage}. */
public final class ReplicaCountMessageCodec implements MessageCodec<ReplicaCountMessage> {

  private static final int TYPE_ID = 25;

  @Override
  public int typeId() {
    return TYPE_ID;
  }

  @Override
  public Class<ReplicaCountMessage> type() {
    return ReplicaCountMessage.class;
  }

  @Override
  public void encode(ReplicaCountMessage message, MessagePacker packer) throws IOException {
    WireFormat.packVersion(message.version(), packer);
    packer.packInt(message.otherReplicas());
  }

  @Override
  public ReplicaCountMessage decode(MessageUnpacker unpacker) throws IOException {
    return new ReplicaCountMessage(WireFormat.unpackVersion(unpacker), unpacker.unpackInt());
  }
}
