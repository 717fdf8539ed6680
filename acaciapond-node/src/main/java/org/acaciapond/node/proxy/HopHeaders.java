package org.acaciapond.node.proxy;

import io.netty.util.AsciiString;
import io.vertx.core.MultiMap;
import java.util.Map;

/** Filter that copies end-to-end headers and drops hop-by-hop headers. */
final class HopHeaders {

  private static final String CONNECTION = "connection";

  private HopHeaders() {}

  /** Copies the end-to-end headers, except those that the connection header lists. */
  static void copy(MultiMap from, MultiMap to) {
    String connectionValue = from.get(CONNECTION);
    for (Map.Entry<String, String> header : from) {
      String name = header.getKey();
      if (!isHopByHop(name) && (connectionValue == null || !listsHeader(connectionValue, name))) {
        to.add(name, header.getValue());
      }
    }
  }

  /** Compares the length first, so that most names cost a single integer comparison. */
  private static boolean isHopByHop(String name) {
    return switch (name.length()) {
      case 2 -> equalsIgnoreCase(name, "te");
      case 4 -> equalsIgnoreCase(name, "host");
      case 6 -> equalsIgnoreCase(name, "expect");
      case 7 -> equalsIgnoreCase(name, "trailer") || equalsIgnoreCase(name, "upgrade");
      case 10 -> equalsIgnoreCase(name, CONNECTION) || equalsIgnoreCase(name, "keep-alive");
      case 14 -> equalsIgnoreCase(name, "http2-settings");
      case 16 -> equalsIgnoreCase(name, "proxy-connection");
      case 17 -> equalsIgnoreCase(name, "transfer-encoding");
      default -> false;
    };
  }

  private static boolean equalsIgnoreCase(String name, String expected) {
    return AsciiString.contentEqualsIgnoreCase(name, expected);
  }

  private static boolean listsHeader(String connectionValue, String name) {
    for (String token : connectionValue.split(",", -1)) {
      if (token.trim().equalsIgnoreCase(name)) {
        return true;
      }
    }
    return false;
  }
}
