package org.acaciapond.config.model;

import java.util.List;
import java.util.Optional;

/**
 * Configuration of a whole mesh, as written in the text.
 *
 * @param services all services, in the order of the text
 */
public record MeshConfig(List<ServiceConfig> services) {

  /** Creates a configuration. */
  public MeshConfig {
    services = List.copyOf(services);
  }

  /** Returns the service with this name. */
  public Optional<ServiceConfig> service(String name) {
    return services.stream().filter(service -> service.name().equals(name)).findFirst();
  }
}
