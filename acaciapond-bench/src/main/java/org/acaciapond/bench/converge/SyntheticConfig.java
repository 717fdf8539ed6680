package org.acaciapond.bench.converge;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.ArrayList;
import java.util.List;
import org.acaciapond.config.model.LimitsConfig;
import org.acaciapond.config.model.MeshConfig;
import org.acaciapond.config.model.RouteConfig;
import org.acaciapond.config.model.ServiceConfig;
import org.acaciapond.config.model.VersionConfig;
import org.acaciapond.config.version.ConfigCodec;

/**
 * Generated configuration in which each edit changes one service. Its slices have a size of about 1
 * KB, for which the distribution is designed.
 */
final class SyntheticConfig {

  private static final int ROUTES_PER_SERVICE = 10;
  private static final int DEPENDENCIES_PER_SERVICE = 3;
  private static final long BASE_TIMEOUT_MS = 1_000;

  private SyntheticConfig() {}

  static String serviceName(int index) {
    return "service-" + index;
  }

  /** Returns the configuration text after a number of edits. */
  static String toText(int services, int edits) {
    List<ServiceConfig> serviceConfigs = new ArrayList<>();
    for (int i = 0; i < services; i++) {
      int editsOfService = edits / services + (i < edits % services ? 1 : 0);
      serviceConfigs.add(service(i, services, editsOfService));
    }
    try {
      return ConfigCodec.mapper().writeValueAsString(new MeshConfig(serviceConfigs));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialize the generated configuration", e);
    }
  }

  private static ServiceConfig service(int index, int services, int edits) {
    List<RouteConfig> routes = new ArrayList<>();
    for (int i = 0; i < ROUTES_PER_SERVICE; i++) {
      routes.add(new RouteConfig("/route-" + i, true, BASE_TIMEOUT_MS + edits, 1, null));
    }
    List<String> dependsOn = new ArrayList<>();
    for (int i = 1; i <= Math.min(DEPENDENCIES_PER_SERVICE, services - 1); i++) {
      dependsOn.add(serviceName((index + i) % services));
    }
    return new ServiceConfig(
        serviceName(index),
        dependsOn,
        false,
        routes,
        LimitsConfig.DEFAULT,
        List.of(new VersionConfig("v1")),
        "v1",
        null);
  }
}
