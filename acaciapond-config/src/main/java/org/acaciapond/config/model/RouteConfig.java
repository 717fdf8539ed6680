package org.acaciapond.config.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Route of a service.
 *
 * @param path path prefix that the route matches, starting with a slash
 * @param idempotent whether a call may safely be executed more than once
 * @param timeoutMs timeout of a call, unless the caller set an earlier deadline
 * @param maxRetries maximum number of retries of one call, within the retry budget
 * @param version version that the route is pinned to, or null to follow the traffic shares
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record RouteConfig(
    String path,
    boolean idempotent,
    @JsonProperty("timeout_ms") long timeoutMs,
    @JsonProperty("max_retries") int maxRetries,
    @Nullable String version) {

  /** Timeout of a route that sets none. */
  public static final long DEFAULT_TIMEOUT_MS = 5_000;

  /** Maximum number of retries of a route that sets none. */
  public static final int DEFAULT_MAX_RETRIES = 1;

  /** Creates a route. */
  public RouteConfig {
    Objects.requireNonNull(path, "path");
  }

  /** Creates a route from its JSON fields; an absent field gets its default. */
  @JsonCreator
  static RouteConfig fromJson(
      @JsonProperty("path") String path,
      @JsonProperty("idempotent") boolean idempotent,
      @JsonProperty("timeout_ms") @Nullable Long timeoutMs,
      @JsonProperty("max_retries") @Nullable Integer maxRetries,
      @JsonProperty("version") @Nullable String version) {
    return new RouteConfig(
        path,
        idempotent,
        timeoutMs == null ? DEFAULT_TIMEOUT_MS : timeoutMs,
        maxRetries == null ? DEFAULT_MAX_RETRIES : maxRetries,
        version);
  }
}
