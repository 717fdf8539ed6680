package org.acaciapond.node.telemetry;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Span of one hop after its end.
 *
 * @param traceId trace in hexadecimal
 * @param spanId span in hexadecimal
 * @param parentSpanId parent span in hexadecimal, all zeros for the first of a trace
 * @param name direction of the hop
 * @param startEpochNanos start since 1970
 * @param durationNanos time to the end
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
