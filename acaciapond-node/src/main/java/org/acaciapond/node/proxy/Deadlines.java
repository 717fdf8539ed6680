package org.acaciapond.node.proxy;

import io.vertx.core.http.HttpServerRequest;
import java.util.concurrent.TimeUnit;
import org.acaciapond.common.time.TimeSource;

/** Reading of the deadline that a call carries. */
final class Deadlines {

  private Deadlines() {}

  /**
   * Returns the monotonic time of the deadline: the earlier of the time left that the call carries
   * and the longest time of its route. A value that is no number counts as spent.
   */
  static long read(HttpServerRequest request, long routeTimeoutMs, TimeSource time) {
    String carried = request.getHeader(MeshHeaders.DEADLINE_MS);
    long leftMs = carried == null ? routeTimeoutMs : Math.min(parse(carried), routeTimeoutMs);
    return time.nanoTime() + TimeUnit.MILLISECONDS.toNanos(leftMs);
  }

  private static long parse(String carried) {
    try {
      return Math.max(0, Long.parseLong(carried.trim()));
    } catch (NumberFormatException e) {
      return 0;
    }
  }
}
