package org.acaciapond.routing.route;

import java.util.concurrent.ConcurrentHashMap;
import org.acaciapond.config.model.RouteConfig;
import org.acaciapond.config.model.ServiceConfig;

/** Cache of the route tables of services; a table is rebuilt when its configuration changes. */
public final class RouteTables {

  private record Entry(ServiceConfig service, RouteTable table) {}

  private final ConcurrentHashMap<String, Entry> entries = new ConcurrentHashMap<>();

  /** Returns the route of a service that matches a URI. */
  public RouteConfig match(ServiceConfig service, String uri) {
    Entry entry = entries.get(service.name());
    // Snapshots are immutable, so an identity check shows whether the table is up to date.
    if (entry == null || entry.service() != service) {
      entry = new Entry(service, new RouteTable(service));
      entries.put(service.name(), entry);
    }
    return entry.table().match(uri);
  }
}
