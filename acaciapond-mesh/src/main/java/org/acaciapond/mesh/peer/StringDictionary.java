package org.acaciapond.mesh.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Dictionary of strings that occur repeatedly on one connection, such as header names. From its
 * third occurrence on, a string is sent as an index. Each side has one table for the strings that
 * it sends and one for those that it receives.
 */
final class StringDictionary {

  /** Maximum number of entries of a table; further strings are always sent as literals. */
  static final int MAX_ENTRIES = 1_024;

  private static final int MAX_INDEXED_LENGTH_CHARS = 128;
  private static final int MAX_SEEN_ONCE = 1_024;
  private static final int LITERAL = -1;
  private static final int INDEXED_LITERAL = -2;

  private final Map<String, Integer> sentIndexes = new HashMap<>();
  private final Set<String> seenOnce = new HashSet<>();
  private final List<String> received = new ArrayList<>();

  void write(MessagePacker out, String value) throws IOException {
    Integer index = sentIndexes.get(value);
    if (index != null) {
      out.packInt(index);
    } else if (shouldIndex(value)) {
      sentIndexes.put(value, sentIndexes.size());
      out.packInt(INDEXED_LITERAL).packString(value);
    } else {
      out.packInt(LITERAL).packString(value);
    }
  }

  private boolean shouldIndex(String value) {
    if (value.length() > MAX_INDEXED_LENGTH_CHARS || sentIndexes.size() >= MAX_ENTRIES) {
      return false;
    }
    if (seenOnce.size() >= MAX_SEEN_ONCE) {
      seenOnce.clear();
    }
    return !seenOnce.add(value);
  }

  String read(MessageUnpacker in) throws IOException {
    int index = in.unpackInt();
    if (index >= 0) {
      return received.get(index);
    }
    String value = in.unpackString();
    if (index == INDEXED_LITERAL) {
      if (received.size() >= MAX_ENTRIES) {
        throw new PeerException(
            PeerErrorCode.MALFORMED_MESSAGE,
            "string dictionary exceeds " + MAX_ENTRIES + " entries",
            null);
      }
      received.add(value);
    }
    return value;
  }
}
