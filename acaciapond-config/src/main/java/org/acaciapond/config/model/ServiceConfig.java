package org.acaciapond.config.model;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Configuration of one service of the mesh.
 *
 * @param name unique name of the service
 * @param dependsOn names of the services that it may call
 * @param exposed whether callers outside the mesh may call it
 * @param routes routes of the service; the one with the longest matching prefix applies
 * @param limits limits of each target of the service
 * @param versions versions of its targets that may receive traffic
 * @param currentVersion version that receives all traffic when no rollout is running
 * @param rollout rollout of another version, or null when none is requested
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record ServiceConfig(
    String name,
    @JsonProperty("depends_on") List<String> dependsOn,
    boolean exposed,
    List<RouteConfig> routes,
    LimitsConfig limits,
    List<VersionConfig> versions,
    @JsonProperty("current_version") String currentVersion,
    @JsonProperty("move") @Nullable RolloutConfig rollout) {

  /** Creates a service; absent lists are empty and absent limits are the defaults. */
  public ServiceConfig {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(currentVersion, "current_version");
    dependsOn = dependsOn == null ? List.of() : List.copyOf(dependsOn);
    routes = routes == null ? List.of() : List.copyOf(routes);
    limits = limits == null ? LimitsConfig.DEFAULT : limits;
    versions = versions == null ? List.of() : List.copyOf(versions);
  }
}
