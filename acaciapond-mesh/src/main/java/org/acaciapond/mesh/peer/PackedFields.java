package org.acaciapond.mesh.peer;

import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** MessagePack fields that several kinds of messages use. */
final class PackedFields {

  private static final int MAX_LIST_ENTRIES = 100_000;
  // The unpacker allocates as many bytes as a field announces.
  private static final int MAX_FIELD_BYTES = 16 << 20;

  private PackedFields() {}

  static void writeBytes(MessageBufferPacker out, byte[] bytes) throws IOException {
    out.packBinaryHeader(bytes.length).writePayload(bytes);
  }

  static byte[] readBytes(MessageUnpacker in) throws IOException {
    int length = in.unpackBinaryHeader();
    if (length > MAX_FIELD_BYTES) {
      throw new PeerException(
          PeerErrorCode.MALFORMED_MESSAGE, "field of " + length + " bytes", null);
    }
    return in.readPayload(length);
  }

  // Reads a field that nodes of earlier releases do not send.
  static long readOptionalLong(MessageUnpacker in) throws IOException {
    return in.hasNext() ? in.unpackLong() : 0;
  }

  static int readListSize(MessageUnpacker in) throws IOException {
    int count = in.unpackInt();
    if (count < 0 || count > MAX_LIST_ENTRIES) {
      throw new PeerException(
          PeerErrorCode.MALFORMED_MESSAGE,
          "list of " + count + " entries: not between 0 and " + MAX_LIST_ENTRIES,
          null);
    }
    return count;
  }
}
