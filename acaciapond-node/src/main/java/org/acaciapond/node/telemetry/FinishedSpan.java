package org.acaciapond.node.telemetry;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Finished trace span of one hop, as written to the trace log.
 *
 * @param traceId trace ID in hexadecimal
 * @param spanId span ID in hexadecimal
 * @param parentSpanId parent span ID in hexadecimal, all zeros for a root span
 * @param name direction of the call: {@code inbound} or {@code outbound}
 * @param startEpochNanos start time in nanoseconds since the Unix epoch
 * @param durationNanos duration in nanoseconds
 * @param status HTTP status sent to the caller
 * @param end how the call ended
 */
public record FinishedSpan(
    @JsonProperty("trace_id") String traceId,
    @JsonProperty("span_id") String spanId,
    @JsonProperty("parent_span_id") String parentSpanId,
    String name,
    @JsonProperty("start_epoch_ns") long startEpochNanos,
    @JsonProperty("duration_ns") long durationNanos,
    long status,
    String end) {}
