package org.acaciapond.protocol.codec;

import java.io.IOException;
import org.acaciapond.protocol.message.Message;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encoding of one type of message.
 *
 * @param <M> type of the message
 */
public interface MessageCodec<M extends Message> {

  /** Returns the number of the type on the wire, from 1 to 127. */
  int typeId();

  /** Returns the type of the message. */
  Class<M> type();

  /** Writes a message. */
  void encode(M message, MessagePacker packer) throws IOException;

  /** Reads a message. */
  M decode(MessageUnpacker unpacker) throws IOException;
}
