package org.acaciapond.http;

import java.util.List;

/**
 * Answer to a request.
 *
 * @param status HTTP status
 * @param headers names and values in turn, without those of the connection
 * @param body whole body
 */
public record HttpResponse(int status, List<String> headers, byte[] body) {

  private static final byte[] EMPTY = new byte[0];

  /** Returns an answer without a body. */
  public static HttpResponse empty(int status, List<String> headers) {
    return new HttpResponse(status, headers, EMPTY);
  }
}
