package org.acaciapond.routing.route;

import java.util.Arrays;
import java.util.Comparator;
import org.acaciapond.config.model.RouteConfig;
import org.acaciapond.config.model.ServiceConfig;

/** Immutable table of the routes of one service; the longest matching prefix wins. */
public final class RouteTable {

  /** Route of unmatched paths; not idempotent, so that no call is sent twice by default. */
  public static final RouteConfig DEFAULT_ROUTE = new RouteConfig("/", false, 10_000, 1, null);

  private final RouteConfig[] longestFirst;

  /** Creates the table of a service. */
  public RouteTable(ServiceConfig service) {
    this.longestFirst = service.routes().toArray(new RouteConfig[0]);
    Arrays.sort(
        longestFirst, Comparator.comparingInt((RouteConfig r) -> r.path().length()).reversed());
  }

  /** Returns the route that matches a URI; the query is ignored. */
  public RouteConfig match(String uri) {
    int query = uri.indexOf('?');
    int length = query < 0 ? uri.length() : query;
    for (RouteConfig route : longestFirst) {
      if (matches(route.path(), uri, length)) {
        return route;
      }
    }
    return DEFAULT_ROUTE;
  }

  /** Matches whole path segments, so that {@code /order} does not match {@code /orders}. */
  private static boolean matches(String prefix, String uri, int length) {
    int size = prefix.length();
    if (size > length || !uri.startsWith(prefix)) {
      return false;
    }
    return size == length || prefix.endsWith("/") || uri.charAt(size) == '/';
  }
}
