package org.acaciapond.protocol.codec;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.acaciapond.protocol.message.LivenessMessage;
import org.acaciapond.protocol.message.Message;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Immutable registry of the codecs of the messages that a node understands. */
public final class CodecRegistry {

  /** Largest type number that takes one byte on the wire. */
  private static final int MAX_TYPE_ID = 127;

  private final Map<Integer, MessageCodec<?>> byTypeId = new HashMap<>();
  private final Map<Class<?>, MessageCodec<?>> byType = new HashMap<>();

  /**
   * Creates a registry; type numbers must be unique.
   *
   * <p>The codec of the liveness check, which every connection needs, is added when it is missing.
   */
  public CodecRegistry(List<MessageCodec<?>> codecs) {
    codecs.forEach(this::add);
    if (!byType.containsKey(LivenessMessage.class)) {
      add(new LivenessMessageCodec());
    }
  }

  private void add(MessageCodec<?> codec) {
    if (codec.typeId() < 1 || codec.typeId() > MAX_TYPE_ID) {
      throw new IllegalArgumentException("message type out of range: " + codec.typeId());
    }
    if (byTypeId.put(codec.typeId(), codec) != null) {
      throw new IllegalArgumentException("duplicate message type: " + codec.typeId());
    }
    byType.put(codec.type(), codec);
  }

  /**
   * Returns the size limit in bytes of an encoded message of a type; 0 when the type is unknown.
   */
  public int maxBytes(int typeId) {
    MessageCodec<?> codec = byTypeId.get(typeId);
    return codec == null ? 0 : codec.maxBytes();
  }

  /**
   * Encodes a message as the payload of a frame; throws {@link ProtocolException} when the message
   * has no codec or is too long.
   */
  public byte[] encode(Message message) {
    MessageCodec<?> codec = byType.get(message.getClass());
    if (codec == null) {
      throw new ProtocolException(
          ProtocolErrorCode.UNKNOWN_MESSAGE, message.getClass().getName(), null);
    }
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(codec.typeId());
      encodeWith(codec, message, packer);
      byte[] payload = packer.toByteArray();
      if (payload.length > codec.maxBytes()) {
        throw new ProtocolException(
            ProtocolErrorCode.FRAME_TOO_LONG,
            codec.type().getSimpleName() + " of " + payload.length + " bytes",
            null);
      }
      return payload;
    } catch (IOException e) {
      throw new ProtocolException(
          ProtocolErrorCode.MALFORMED_MESSAGE, "message cannot be encoded", e);
    }
  }

  private static <M extends Message> void encodeWith(
      MessageCodec<M> codec, Message message, MessageBufferPacker packer) throws IOException {
    codec.encode(codec.type().cast(message), packer);
  }

  /** Decodes the payload of a frame; throws {@link ProtocolException} when it is malformed. */
  public Message decode(byte[] payload) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
      int typeId = unpacker.unpackInt();
      MessageCodec<?> codec = byTypeId.get(typeId);
      if (codec == null) {
        throw new ProtocolException(
            ProtocolErrorCode.UNKNOWN_MESSAGE, "no codec for message type " + typeId, null);
      }
      Message message = codec.decode(unpacker);
      if (unpacker.hasNext()) {
        throw new ProtocolException(
            ProtocolErrorCode.MALFORMED_MESSAGE, "payload has bytes after the message", null);
      }
      return message;
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      throw new ProtocolException(
          ProtocolErrorCode.MALFORMED_MESSAGE, "payload is not a valid message", e);
    }
  }
}
