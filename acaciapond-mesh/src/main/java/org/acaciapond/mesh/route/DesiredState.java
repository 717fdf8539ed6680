package org.acaciapond.mesh.route;

import java.util.List;
import java.util.Map;

/**
 * One checked version of the operator's text.
 *
 * @param version number that orders versions
 * @param routes all routes
 * @param services all services by name
 * @param limits limits for clients
 */
public record DesiredState(
    long version, List<Route> routes, Map<String, ServiceSpec> services, ClientLimits limits) {

  /** Copies the collections. */
  public DesiredState {
    routes = List.copyOf(routes);
    services = Map.copyOf(services);
  }
}
