package org.acaciapond.config.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.jspecify.annotations.Nullable;

/**
 * Limits of each target of a service.
 *
 * @param slots maximum number of calls that a target runs concurrently
 * @param queue maximum number of calls that wait for a slot at the node of a target
 * @param connections maximum number of connections that a target accepts
 * @param maxBodyBytes maximum size of a request body in bytes
 */
public record LimitsConfig(
    int slots, int queue, int connections, @JsonProperty("max_body_bytes") long maxBodyBytes) {

  /** Limits of a service that sets none. */
  public static final LimitsConfig DEFAULT = new LimitsConfig(12, 12, 130, 67_108_864L);

  /** Creates limits from their JSON fields; an absent field gets its default. */
  @JsonCreator
  static LimitsConfig fromJson(
      @JsonProperty("slots") @Nullable Integer slots,
      @JsonProperty("queue") @Nullable Integer queue,
      @JsonProperty("connections") @Nullable Integer connections,
      @JsonProperty("max_body_bytes") @Nullable Long maxBodyBytes) {
    return new LimitsConfig(
        slots == null ? DEFAULT.slots : slots,
        queue == null ? DEFAULT.queue : queue,
        connections == null ? DEFAULT.connections : connections,
        maxBodyBytes == null ? DEFAULT.maxBodyBytes : maxBodyBytes);
  }
}
