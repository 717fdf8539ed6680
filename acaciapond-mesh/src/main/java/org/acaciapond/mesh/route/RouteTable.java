package org.acaciapond.mesh.route;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Immutable index of the routes of one desired state; a match needs one lookup per path segment.
 */
public final class RouteTable {

  private final DesiredState state;
  private final Map<String, Map<String, Route>> byHost = new HashMap<>();

  /** Builds the index. */
  public RouteTable(DesiredState state) {
    this.state = state;
    for (Route route : state.routes()) {
      byHost
          .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new HashMap<>())
          .put(route.pathPrefix(), route);
    }
  }

  /** Returns the indexed desired state. */
  public DesiredState state() {
    return state;
  }

  /** Returns the version of the desired state. */
  public long version() {
    return state.version();
  }

  /** Returns the route of the host with the longest matching path prefix, or null. */
  public @Nullable Route match(String hostHeader, String uri) {
    Map<String, Route> routes = byHost.get(hostWithoutPort(hostHeader));
    if (routes == null) {
      return null;
    }
    int end = uri.length();
    for (int i = 0; i < uri.length(); i++) {
      char c = uri.charAt(i);
      if (c == '?' || c == '#') {
        end = i;
        break;
      }
    }
    for (int slash = uri.lastIndexOf('/', end - 1);
        slash >= 0;
        slash = uri.lastIndexOf('/', slash - 1)) {
      Route route = routes.get(uri.substring(0, slash + 1));
      if (route != null) {
        return route;
      }
    }
    return null;
  }

  private static String hostWithoutPort(String header) {
    int colon = header.lastIndexOf(':');
    String host = colon > 0 && header.indexOf(']') < colon ? header.substring(0, colon) : header;
    return host.toLowerCase(Locale.ROOT);
  }
}
