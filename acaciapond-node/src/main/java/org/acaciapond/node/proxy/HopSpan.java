package org.acaciapond.node.proxy;

import io.vertx.core.MultiMap;

/** Trace span of one call at one hop; ended exactly once. */
public interface HopSpan {

  /** Writes the context of this span into the headers of the forwarded request. */
  void inject(MultiMap headers);

  /**
   * Ends the span.
   *
   * @param status HTTP status sent to the caller
   * @param end how the call ended
   */
  void end(int status, String end);
}
