package org.acaciapond.config.model;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.jspecify.annotations.Nullable;

/**
 * One path of a service.
 *
 * @param path path prefix, starting with a slash
 * @param idempotent whether a call may safely run more than once
 * @param timeoutMs longest time for a call when the caller set no earlier deadline
 * @param maxRetries most retries of one call, within the retry budget
 * @param version version that the route is pinned to, or null to follow the traffic shares
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record RouteConfig(
    String path,
    boolean idempotent,
    @JsonProperty("timeout_ms") long timeoutMs,
    @JsonProperty("max_retries") int maxRetries,
    @Nullable String version) {}
