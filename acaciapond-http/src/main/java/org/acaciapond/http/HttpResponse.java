package org.acaciapond.http;

import java.util.List;

/**
 * HTTP response.
 *
 * @param status HTTP status
 * @param headers alternating names and values, without hop-by-hop headers
 * @param body complete body
 */
public record HttpResponse(int status, List<String> headers, byte[] body) {

  private static final byte[] EMPTY = new byte[0];

  /** Creates a response without a body. */
  public static HttpResponse empty(int status, List<String> headers) {
    return new HttpResponse(status, headers, EMPTY);
  }
}
