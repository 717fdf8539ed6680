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
 * Strings that come again and again on one connection, such as header names: from their third time
 * on they are sent as a number. Each side holds one table for what it sends and one for what it
 * receives.
 */
final class RepeatedStrings {

  /** Most strings of a table; later ones are always sent whole. */
  static final int MAX_STRINGS = 1_024;

  private static final int MAX_LENGTH = 128;
  private static final int MAX_SEEN = 1_024;
  private static final int WHOLE = -1;
  private static final int WHOLE_AND_KEPT = -2;

  private final Map<String, Integer> sentNumbers = new HashMap<>();
  private final Set<String> seenOnce = new HashSet<>();
  private final List<String> received = new ArrayList<>();

  void write(MessagePacker out, String value) throws IOException {
    Integer number = sentNumbers.get(value);
    if (number != null) {
      out.packInt(number);
    } else if (comesAgain(value)) {
      sentNumbers.put(value, sentNumbers.size());
      out.packInt(WHOLE_AND_KEPT).packString(value);
    } else {
      out.packInt(WHOLE).packString(value);
    }
  }

  private boolean comesAgain(String value) {
    if (value.length() > MAX_LENGTH || sentNumbers.size() >= MAX_STRINGS) {
      return false;
    }
    if (seenOnce.size() >= MAX_SEEN) {
      seenOnce.clear();
    }
    return !seenOnce.add(value);
  }

  String read(MessageUnpacker in) throws IOException {
    int number = in.unpackInt();
    if (number >= 0) {
      return received.get(number);
    }
    String value = in.unpackString();
    if (number == WHOLE_AND_KEPT) {
      if (received.size() >= MAX_STRINGS) {
        throw new PeerException(PeerErrorCode.MALFORMED_MESSAGE, "table of strings is full", null);
      }
      received.add(value);
    }
    return value;
  }
}
