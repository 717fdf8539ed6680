package org.acaciapond.http;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Detection of heads that begin with a part of one response and end with the head of another. A
 * server in trouble may send a part of a response and then another response. The status line of the
 * latter then continues the last line of the former.
 */
final class JoinedHead {

  private static final String PROTOCOL = "HTTP";
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [0-9]{3}");
  // The decoder takes a line without a colon for a name that ends at the first space.
  private static final String STATUS_LINE_NAME = "HTTP/1.";

  private JoinedHead() {}

  /** Returns whether a status line begins within the head. */
  static boolean matches(HttpResponse response) {
    if (!response.protocolVersion().protocolName().equals(PROTOCOL)
        || containsStatusLine(response.status().reasonPhrase())) {
      return true;
    }
    for (Map.Entry<String, String> header : response.headers()) {
      if (header.getKey().contains(STATUS_LINE_NAME) || containsStatusLine(header.getValue())) {
        return true;
      }
    }
    return false;
  }

  private static boolean containsStatusLine(String text) {
    // Most texts are excluded without the regular expression.
    return text.contains(STATUS_LINE_NAME) && STATUS_LINE.matcher(text).find();
  }
}
