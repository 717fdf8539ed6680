package org.acaciapond.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Utilities for headers, which are lists of alternating names and values, and for queries. */
public final class HttpMessage {

  // A string with its array, and its places in two lists.
  private static final int HEAP_BYTES_PER_STRING = 72;

  private HttpMessage() {}

  /** Returns decoded headers as a list of alternating names and values. */
  static List<String> toList(HttpHeaders headers) {
    List<String> list = new ArrayList<>(2 * headers.size());
    for (Map.Entry<String, String> header : headers) {
      list.add(header.getKey());
      list.add(header.getValue());
    }
    return list;
  }

  /** Returns how much of the heap a list of headers takes, roughly. */
  public static long heapBytes(List<String> headers) {
    long bytes = (long) headers.size() * HEAP_BYTES_PER_STRING;
    for (String each : headers) {
      bytes += each.length();
    }
    return bytes;
  }

  /** Returns the first value of a header, or null. */
  public static @Nullable String header(List<String> headers, String name) {
    for (int i = 0; i + 1 < headers.size(); i += 2) {
      if (headers.get(i).equalsIgnoreCase(name)) {
        return headers.get(i + 1);
      }
    }
    return null;
  }

  /** Returns how many times a header occurs. */
  public static int count(List<String> headers, String name) {
    int found = 0;
    for (int i = 0; i + 1 < headers.size(); i += 2) {
      if (headers.get(i).equalsIgnoreCase(name)) {
        found++;
      }
    }
    return found;
  }

  /** Returns the headers without hop-by-hop headers and without those with the given names. */
  public static List<String> endToEnd(List<String> headers, List<String> excluded) {
    List<String> kept = new ArrayList<>(headers.size());
    String connection = header(headers, "connection");
    for (int i = 0; i + 1 < headers.size(); i += 2) {
      String name = headers.get(i);
      if (!isHopByHop(name) && !isListed(connection, name) && !contains(excluded, name)) {
        kept.add(name);
        kept.add(headers.get(i + 1));
      }
    }
    return kept;
  }

  private static boolean isHopByHop(String name) {
    return switch (name.length()) {
      case 2 -> name.equalsIgnoreCase("te");
      case 6 -> name.equalsIgnoreCase("expect");
      case 7 -> name.equalsIgnoreCase("trailer") || name.equalsIgnoreCase("upgrade");
      case 10 -> name.equalsIgnoreCase("connection") || name.equalsIgnoreCase("keep-alive");
      case 14 -> name.equalsIgnoreCase("content-length");
      case 16 -> name.equalsIgnoreCase("proxy-connection");
      case 17 -> name.equalsIgnoreCase("transfer-encoding");
      case 19 -> name.equalsIgnoreCase("proxy-authorization");
      default -> false;
    };
  }

  private static boolean isListed(@Nullable String connection, String name) {
    if (connection == null) {
      return false;
    }
    for (String token : connection.split(",")) {
      if (token.trim().equalsIgnoreCase(name)) {
        return true;
      }
    }
    return false;
  }

  private static boolean contains(List<String> names, String name) {
    for (String each : names) {
      if (each.equalsIgnoreCase(name)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the parameters of a query; a part without a name or an equals sign is ignored. */
  public static Map<String, String> parseQuery(String text) {
    Map<String, String> values = new HashMap<>();
    for (String pair : text.split("&")) {
      int equals = pair.indexOf('=');
      if (equals > 0) {
        values.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return values;
  }
}
