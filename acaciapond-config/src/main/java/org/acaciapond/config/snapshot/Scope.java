package org.acaciapond.config.snapshot;

import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.acaciapond.config.model.MeshConfig;
import org.acaciapond.config.model.ServiceConfig;

/**
 * Part of the configuration that is visible to the node of one service.
 *
 * @param ownService service whose target runs on the host of the node
 * @param reachable names of this service and of its direct dependencies
 * @param permittedCallers names of the services that depend on this service
 */
public record Scope(String ownService, Set<String> reachable, Set<String> permittedCallers) {

  /** Creates a scope. */
  public Scope {
    reachable = Set.copyOf(reachable);
    permittedCallers = Set.copyOf(permittedCallers);
  }

  /**
   * Computes the scope of a service; a service that the configuration lacks has no reachable
   * services.
   */
  public static Scope of(String ownService, MeshConfig config) {
    Set<String> reachable = new TreeSet<>();
    config
        .service(ownService)
        .ifPresent(
            service -> {
              reachable.add(ownService);
              reachable.addAll(service.dependsOn());
            });
    Set<String> callers =
        config.services().stream()
            .filter(service -> service.dependsOn().contains(ownService))
            .map(ServiceConfig::name)
            .collect(Collectors.toSet());
    return new Scope(ownService, reachable, callers);
  }
}
