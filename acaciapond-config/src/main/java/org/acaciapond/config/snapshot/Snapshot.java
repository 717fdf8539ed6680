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

/** Checked, immutable configuration in the scope of one node; built whole or not at all. */
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

  /** Returns the snapshot before the first configuration. */
  public static Snapshot empty(String ownService) {
    Scope scope = new Scope(ownService, Set.of(), Set.of());
    return new Snapshot(ConfigVersion.NONE, scope, Map.of(), Map.of());
  }

  /**
   * Builds a snapshot; throws {@link ConfigException} when a digest is wrong, a service of the
   * scope is absent, a route or move names a version that its service lacks, a slice is given
   * twice, or the scope is not the own service with its direct dependencies.
   */
  public static Snapshot build(ConfigVersion version, Scope scope, List<ServiceSlice> slices) {
    Map<String, ServiceSlice> byName = new TreeMap<>();
    Map<String, ServiceConfig> services = new TreeMap<>();
    for (ServiceSlice slice : slices) {
      if (scope.reachable().contains(slice.service())) {
        if (byName.put(slice.service(), slice) != null) {
          throw mismatch("two slices of " + slice.service());
        }
        services.put(slice.service(), ConfigCodec.decodeSlice(slice));
      }
    }
    checkScope(scope, services.get(scope.ownService()));
    for (String name : scope.reachable()) {
      ServiceConfig service = services.get(name);
      if (service == null) {
        throw dangling("service " + name + " is absent");
      }
      checkVersions(service);
    }
    return new Snapshot(version, scope, byName, services);
  }

  /** Guards against a slice and a scope that were taken from different versions. */
  private static void checkScope(Scope scope, @Nullable ServiceConfig own) {
    Set<String> expected = new TreeSet<>();
    if (own != null) {
      expected.add(own.name());
      expected.addAll(own.dependsOn());
    }
    if (!scope.reachable().equals(expected)) {
      throw mismatch(
          "scope of " + scope.ownService() + " is " + scope.reachable() + ", not " + expected);
    }
  }

  private static ConfigException mismatch(String message) {
    return new ConfigException(ConfigErrorCode.SCOPE_MISMATCH, message, null);
  }

  private static void checkVersions(ServiceConfig service) {
    List<String> versions = service.versions().stream().map(VersionConfig::name).toList();
    if (!versions.contains(service.currentVersion())) {
      throw dangling(service.name() + " lacks its current version " + service.currentVersion());
    }
    for (RouteConfig route : service.routes()) {
      String pinned = route.version();
      if (pinned != null && !versions.contains(pinned)) {
        throw dangling(service.name() + route.path() + " names absent version " + pinned);
      }
    }
    if (service.move() != null && !versions.contains(service.move().toVersion())) {
      throw dangling(service.name() + " moves to an absent version");
    }
  }

  private static ConfigException dangling(String message) {
    return new ConfigException(ConfigErrorCode.SNAPSHOT_DANGLING, message, null);
  }

  /** Returns the version. */
  public ConfigVersion version() {
    return version;
  }

  /** Returns the scope. */
  public Scope scope() {
    return scope;
  }

  /** Returns the slices by service name. */
  public Map<String, ServiceSlice> slices() {
    return slices;
  }

  /** Returns the services by name. */
  public Map<String, ServiceConfig> services() {
    return services;
  }

  /** Returns a reachable service, or null when the own service may not reach it. */
  public @Nullable ServiceConfig service(String name) {
    return services.get(name);
  }
}
