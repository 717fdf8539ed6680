package org.acaciapond.http;

import java.util.List;
import java.util.function.Predicate;

/**
 * HTTP request of a client connection.
 *
 * @param method HTTP method
 * @param uri path and query
 * @param headers alternating names and values, including the host
 * @param body complete body
 * @param acceptsResponse tests from the headers whether a response belongs to this request
 */
public record ClientRequest(
    String method,
    String uri,
    List<String> headers,
    byte[] body,
    Predicate<List<String>> acceptsResponse) {

  /** Creates a request that accepts the next response on the connection. */
  public ClientRequest(String method, String uri, List<String> headers, byte[] body) {
    this(method, uri, headers, body, response -> true);
  }
}
