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

/** Configuration of which each edit changes one service; slices are about 1 KB, as designed for. */
final class SyntheticConfig {

  private static final int ROUTES = 10;
  private static final int DEPENDENCIES = 3;
  private static final long BASE_TIMEOUT_MS = 1_000;

  private SyntheticConfig() {}

  static String serviceName(int index) {
    return "service-" + index;
  }

  /** Returns the text after a number of edits. */
  static String text(int services, int edits) {
    List<ServiceConfig> list = new ArrayList<>();
    for (int i = 0; i < services; i++) {
      int editsOfService = edits / services + (i < edits % services ? 1 : 0);
      list.add(service(i, services, editsOfService));
    }
    try {
      return ConfigCodec.mapper().writeValueAsString(new MeshConfig(list));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("record of plain values", e);
    }
  }

  private static ServiceConfig service(int index, int services, int edits) {
    List<RouteConfig> routes = new ArrayList<>();
    for (int i = 0; i < ROUTES; i++) {
      routes.add(new RouteConfig("/route-" + i, true, BASE_TIMEOUT_MS + edits, 1, null));
    }
    List<String> dependsOn = new ArrayList<>();
    for (int i = 1; i <= Math.min(DEPENDENCIES, services - 1); i++) {
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
