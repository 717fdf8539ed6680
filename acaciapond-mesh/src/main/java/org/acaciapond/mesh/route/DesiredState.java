package org.acaciapond.mesh.route;

import java.util.List;
import java.util.Map;
import org.acaciapond.mesh.account.AccountDirectory;

/**
 * Validated version of the operator's configuration.
 *
 * @param version version number; a higher one is newer
 * @param routes all routes
 * @param services all services by name
 * @param limits limits for connections of clients
 * @param accounts client accounts
 * @param problems descriptions of the entries that were skipped as invalid, without keys of
 *     accounts
 */
public record DesiredState(
    long version,
    List<Route> routes,
    Map<String, ServiceSpec> services,
    ClientLimits limits,
    AccountDirectory accounts,
    List<String> problems) {

  /** Makes immutable copies of the collections. */
  public DesiredState {
    routes = List.copyOf(routes);
    services = Map.copyOf(services);
    problems = List.copyOf(problems);
  }

  /** Returns the names of the routes whose kind of requests is unknown. */
  public List<String> routesOfUnknownKind() {
    return routes.stream()
        .filter(route -> route.kind() == RequestKind.UNKNOWN)
        .map(Route::name)
        .toList();
  }
}
