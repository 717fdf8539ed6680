package org.acaciapond.http;

import java.util.List;
import java.util.function.Predicate;

/**
 * Request to send.
 *
 * @param method HTTP method
 * @param uri path and query
 * @param headers names and values in turn, the host among them
 * @param body whole body
 * @param belongs whether headers of an answer are those of this request's answer
 */
public record ClientRequest(
    String method, String uri, List<String> headers, byte[] body, Predicate<List<String>> belongs) {

  /** Creates a request to whose answer the next answer on the connection belongs. */
  public ClientRequest(String method, String uri, List<String> headers, byte[] body) {
    this(method, uri, headers, body, answer -> true);
  }
}
