package org.acaciapond.http;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;

/**
 * Detection of heads that begin with a part of one response and end with the head of another. A
 * server in trouble may send a part of a response and then the response to the next request. The
 * status line of the latter then continues the last line of the former.
 */
final class JoinedHead {

  private static final String PROTOCOL = "HTTP";
  private static final String STATUS_LINE_START = "HTTP/1.";

  private JoinedHead() {}

  /** Returns whether a status line begins within the head. */
  static boolean matches(HttpResponse response) {
    if (!response.protocolVersion().protocolName().equals(PROTOCOL)
        || response.status().reasonPhrase().contains(STATUS_LINE_START)) {
      return true;
    }
    for (Map.Entry<String, String> header : response.headers()) {
      if (header.getKey().contains(STATUS_LINE_START)
          || header.getValue().contains(STATUS_LINE_START)) {
        return true;
      }
    }
    return false;
  }
}
