package org.acaciapond.node.proxy;

import io.vertx.core.http.HttpServerRequest;
import java.util.concurrent.TimeUnit;
import org.acaciapond.common.time.TimeSource;

/** Parser of the deadline header of calls. */
final class Deadlines {

  private Deadlines() {}

  /**
   * Returns the deadline in monotonic time: the remaining time in the header of the call, but at
   * most the timeout of its route. A value that is not a number counts as an expired deadline.
   */
  static long read(HttpServerRequest request, long routeTimeoutMs, TimeSource time) {
    String headerValue = request.getHeader(MeshHeaders.DEADLINE_MS);
    long remainingMs =
        headerValue == null ? routeTimeoutMs : Math.min(parse(headerValue), routeTimeoutMs);
    return time.nanoTime() + TimeUnit.MILLISECONDS.toNanos(remainingMs);
  }

  private static long parse(String headerValue) {
    try {
      return Math.max(0, Long.parseLong(headerValue.trim()));
    } catch (NumberFormatException e) {
      return 0;
    }
  }
}
