package org.acaciapond.routing.route;

import java.util.concurrent.ConcurrentHashMap;
import org.acaciapond.config.model.RouteConfig;
import org.acaciapond.config.model.ServiceConfig;

/** Cache of route tables, rebuilt when the configuration of a service is replaced. */
public final class RouteTables {

  private record Entry(ServiceConfig service, RouteTable table) {}

  private final ConcurrentHashMap<String, Entry> entries = new ConcurrentHashMap<>();

  /** Returns the route of a path of a service. */
  public RouteConfig match(ServiceConfig service, String uri) {
    Entry entry = entries.get(service.name());
    // Snapshots are immutable, so identity tells whether the table is that of this snapshot.
    if (entry == null || entry.service() != service) {
      entry = new Entry(service, new RouteTable(service));
      entries.put(service.name(), entry);
    }
    return entry.table().match(uri);
  }
}
