package org.acaciapond.config.snapshot;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.acaciapond.config.model.RouteConfig;
import org.acaciapond.config.model.ServiceConfig;
import org.acaciapond.config.model.VersionConfig;
import org.acaciapond.config.version.ConfigCodec;
import org.acaciapond.config.version.ConfigErrorCode;
import org.acaciapond.config.version.ConfigException;
import org.acaciapond.config.version.ConfigVersion;
import org.acaciapond.config.version.ServiceSlice;
import org.jspecify.annotations.Nullable;

/** Validated, immutable configuration in the scope of one node; never partially built. */
public final class Snapshot {

  private final ConfigVersion version;
  private final Scope scope;
  private final Map<String, ServiceSlice> slices;
  private final Map<String, ServiceConfig> services;

  private Snapshot(
      ConfigVersion version,
      Scope scope,
      Map<String, ServiceSlice> slices,
      Map<String, ServiceConfig> services) {
    this.version = version;
    this.scope = scope;
    this.slices = Map.copyOf(slices);
    this.services = Map.copyOf(services);
  }

  /** Returns the snapshot that a node has before it receives a configuration. */
  public static Snapshot empty(String ownService) {
    Scope scope = new Scope(ownService, Set.of(), Set.of());
    return new Snapshot(ConfigVersion.NONE, scope, Map.of(), Map.of());
  }

  /**
   * Builds a snapshot from the slices in scope.
   *
   * <p>Throws {@link ConfigException} when a digest does not match, a service of the scope is
   * absent, a route or rollout names a version that its service lacks, a slice is given twice, or
   * the scope is not its own service with its direct dependencies.
   */
  public static Snapshot build(ConfigVersion version, Scope scope, List<ServiceSlice> slices) {
    Map<String, ServiceSlice> slicesByName = new TreeMap<>();
    Map<String, ServiceConfig> services = new TreeMap<>();
    for (ServiceSlice slice : slices) {
      if (scope.reachable().contains(slice.service())) {
        if (slicesByName.put(slice.service(), slice) != null) {
          throw scopeMismatch("more than one slice of service " + slice.service());
        }
        services.put(slice.service(), ConfigCodec.decodeSlice(slice));
      }
    }
    checkScope(scope, services.get(scope.ownService()));
    for (String name : scope.reachable()) {
      ServiceConfig service = services.get(name);
      if (service == null) {
        throw danglingReference("service " + name + " is absent");
      }
      checkVersions(service);
    }
    return new Snapshot(version, scope, slicesByName, services);
  }

  /** Checks that the scope and the slice of its own service come from the same version. */
  private static void checkScope(Scope scope, @Nullable ServiceConfig own) {
    Set<String> expected = new TreeSet<>();
    if (own != null) {
      expected.add(own.name());
      expected.addAll(own.dependsOn());
    }
    if (!scope.reachable().equals(expected)) {
      throw scopeMismatch(
          "scope of service "
              + scope.ownService()
              + " is "
              + scope.reachable()
              + ", expected "
              + expected);
    }
  }

  private static ConfigException scopeMismatch(String message) {
    return new ConfigException(ConfigErrorCode.SCOPE_MISMATCH, message, null);
  }

  private static void checkVersions(ServiceConfig service) {
    List<String> versions = service.versions().stream().map(VersionConfig::name).toList();
    if (!versions.contains(service.currentVersion())) {
      throw danglingReference(
          service.name() + " does not list its current version " + service.currentVersion());
    }
    for (RouteConfig route : service.routes()) {
      String pinned = route.version();
      if (pinned != null && !versions.contains(pinned)) {
        throw danglingReference(
            service.name() + route.path() + " is pinned to an absent version " + pinned);
      }
    }
    if (service.rollout() != null && !versions.contains(service.rollout().toVersion())) {
      throw danglingReference(service.name() + " moves to an absent version");
    }
  }

  private static ConfigException danglingReference(String message) {
    return new ConfigException(ConfigErrorCode.SNAPSHOT_DANGLING, message, null);
  }

  /** Returns the version of the configuration. */
  public ConfigVersion version() {
    return version;
  }

  /** Returns the scope. */
  public Scope scope() {
    return scope;
  }

  /** Returns the slices in scope, by service name. */
  public Map<String, ServiceSlice> slices() {
    return slices;
  }

  /** Returns the services in scope, by name. */
  public Map<String, ServiceConfig> services() {
    return services;
  }

  /** Returns a service in scope, or null when the node may not reach it. */
  public @Nullable ServiceConfig service(String name) {
    return services.get(name);
  }
}
