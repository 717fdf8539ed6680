package org.acaciapond.config.snapshot;

import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.acaciapond.config.model.MeshConfig;
import org.acaciapond.config.model.ServiceConfig;

/**
 * What the node of one service needs of the configuration.
 *
 * @param ownService service of the target on the host of the node
 * @param reachable own service and its direct dependencies
 * @param permittedCallers services that depend on the own service
 */
public record Scope(String ownService, Set<String> reachable, Set<String> permittedCallers) {

  /** Creates a scope. */
  public Scope {
    reachable = Set.copyOf(reachable);
    permittedCallers = Set.copyOf(permittedCallers);
  }

  /** Computes the scope of a service; a service unknown to the configuration reaches nothing. */
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
