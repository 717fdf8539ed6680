package org.acaciapond.protocol.codec;

import java.io.IOException;
import org.acaciapond.protocol.message.Message;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Codec of one type of message.
 *
 * @param <M> type of the message
 */
public interface MessageCodec<M extends Message> {

  /** Default size limit: twice the slices of 520 services of about 1 KB. */
  int DEFAULT_MAX_BYTES = 1024 * 1024;

  /** Returns the type number on the wire, from 1 to 127. */
  int typeId();

  /** Returns the size limit of an encoded message; a longer frame closes the connection. */
  default int maxBytes() {
    return DEFAULT_MAX_BYTES;
  }

  /** Returns the class of the messages. */
  Class<M> type();

  /** Writes a message. */
  void encode(M message, MessagePacker packer) throws IOException;

  /** Reads a message. */
  M decode(MessageUnpacker unpacker) throws IOException;
}
