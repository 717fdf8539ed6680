package org.acaciapond.node.proxy;

import io.netty.util.AsciiString;
import io.vertx.core.MultiMap;
import java.util.Map;

/** Copying of the headers that concern more than one hop. */
final class HopHeaders {

  private static final String CONNECTION = "connection";

  private HopHeaders() {}

  /** Copies the end-to-end headers, without those that the connection header names. */
  static void copy(MultiMap from, MultiMap to) {
    String named = from.get(CONNECTION);
    for (Map.Entry<String, String> header : from) {
      String name = header.getKey();
      if (!isHopHeader(name) && (named == null || !names(named, name))) {
        to.add(name, header.getValue());
      }
    }
  }

  /** The length is compared first, so that most names cost one comparison of integers. */
  private static boolean isHopHeader(String name) {
    return switch (name.length()) {
      case 2 -> is(name, "te");
      case 4 -> is(name, "host");
      case 6 -> is(name, "expect");
      case 7 -> is(name, "trailer") || is(name, "upgrade");
      case 10 -> is(name, CONNECTION) || is(name, "keep-alive");
      case 14 -> is(name, "http2-settings");
      case 16 -> is(name, "proxy-connection");
      case 17 -> is(name, "transfer-encoding");
      default -> false;
    };
  }

  private static boolean is(String name, String expected) {
    return AsciiString.contentEqualsIgnoreCase(name, expected);
  }

  private static boolean names(String connectionValue, String name) {
    for (String token : connectionValue.split(",", -1)) {
      if (token.trim().equalsIgnoreCase(name)) {
        return true;
      }
    }
    return false;
  }
}
