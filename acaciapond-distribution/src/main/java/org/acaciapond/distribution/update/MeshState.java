package org.acaciapond.distribution.update;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.acaciapond.config.model.MeshConfig;
import org.acaciapond.config.model.ServiceConfig;
import org.acaciapond.config.snapshot.Scope;
import org.acaciapond.config.snapshot.Snapshot;
import org.acaciapond.config.version.ConfigCodec;
import org.acaciapond.config.version.ConfigVersion;
import org.acaciapond.config.version.ServiceSlice;
import org.jspecify.annotations.Nullable;

/** Full configuration at one version, validated and immutable, as pollers and replicas store it. */
public final class MeshState {

  private final ConfigVersion version;
  private final ScopedContent fullContent;
  private final Map<String, ServiceConfig> services;
  private final Map<String, Set<String>> callers;

  private MeshState(
      ConfigVersion version, ScopedContent fullContent, Map<String, ServiceConfig> services) {
    this.version = version;
    this.fullContent = fullContent;
    this.services = services;
    this.callers = computeCallers(services);
  }

  private static Map<String, Set<String>> computeCallers(Map<String, ServiceConfig> services) {
    Map<String, Set<String>> callers = new HashMap<>();
    for (ServiceConfig service : services.values()) {
      for (String dependency : service.dependsOn()) {
        callers.computeIfAbsent(dependency, name -> new HashSet<>()).add(service.name());
      }
    }
    return callers;
  }

  /** Returns the state before the first edit. */
  public static MeshState empty() {
    return new MeshState(ConfigVersion.NONE, ScopedContent.EMPTY, Map.of());
  }

  /**
   * Builds a state from a parsed text, reusing the unchanged slices of the previous state.
   *
   * <p>Throws {@link org.acaciapond.config.version.ConfigException} if a route or dependency refers
   * to something that does not exist.
   */
  public static MeshState of(ConfigVersion version, MeshConfig config, MeshState previous) {
    Map<String, ServiceSlice> slices = new HashMap<>();
    for (ServiceConfig service : config.services()) {
      ServiceSlice known = previous.fullContent.slices().get(service.name());
      boolean unchanged = known != null && service.equals(previous.services.get(service.name()));
      slices.put(service.name(), unchanged ? known : ConfigCodec.slice(service));
    }
    return of(version, new ScopedContent(slices, Set.of()), previous);
  }

  /** Builds a state from received slices; decodes only slices that the previous state lacks. */
  public static MeshState of(ConfigVersion version, ScopedContent fullContent, MeshState previous) {
    Map<String, ServiceConfig> services = new HashMap<>();
    for (ServiceSlice slice : fullContent.slices().values()) {
      ServiceConfig known = findUnchanged(slice, previous);
      services.put(slice.service(), known == null ? ConfigCodec.decodeSlice(slice) : known);
    }
    MeshState next = new MeshState(version, fullContent, Map.copyOf(services));
    next.validateScopes(previous);
    return next;
  }

  private static @Nullable ServiceConfig findUnchanged(ServiceSlice slice, MeshState previous) {
    return slice.equals(previous.fullContent.slices().get(slice.service()))
        ? previous.services.get(slice.service())
        : null;
  }

  /** Validates the scope of each service; unchanged scopes were validated before. */
  private void validateScopes(MeshState previous) {
    for (ServiceConfig service : services.values()) {
      if (scopeChanged(service, previous)) {
        ScopedContent content = contentFor(service.name());
        Snapshot.build(
            version, reachableScope(service), content.slices().values().stream().toList());
      }
    }
  }

  private boolean scopeChanged(ServiceConfig service, MeshState previous) {
    if (!service.equals(previous.services.get(service.name()))) {
      return true;
    }
    return service.dependsOn().stream()
        .anyMatch(name -> !sameSlice(name, previous) || !services.containsKey(name));
  }

  private boolean sameSlice(String service, MeshState previous) {
    ServiceSlice slice = fullContent.slices().get(service);
    return slice != null && slice.equals(previous.fullContent.slices().get(service));
  }

  private static Scope reachableScope(ServiceConfig service) {
    Set<String> reachable = new HashSet<>(service.dependsOn());
    reachable.add(service.name());
    return new Scope(service.name(), reachable, Set.of());
  }

  /** Returns the version. */
  public ConfigVersion version() {
    return version;
  }

  /** Returns the content of all services. */
  public ScopedContent fullContent() {
    return fullContent;
  }

  /** Returns the content in the scope of a service; empty if the service is unknown. */
  public ScopedContent contentFor(String ownService) {
    ServiceConfig own = services.get(ownService);
    Map<String, ServiceSlice> slices = new HashMap<>();
    if (own != null) {
      addSlice(ownService, slices);
      own.dependsOn().forEach(name -> addSlice(name, slices));
    }
    return new ScopedContent(slices, callers.getOrDefault(ownService, Set.of()));
  }

  private void addSlice(String service, Map<String, ServiceSlice> slices) {
    ServiceSlice slice = fullContent.slices().get(service);
    if (slice != null) {
      slices.put(service, slice);
    }
  }
}
