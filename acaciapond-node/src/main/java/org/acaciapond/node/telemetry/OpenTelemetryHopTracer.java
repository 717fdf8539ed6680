package org.acaciapond.node.telemetry;

import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import io.opentelemetry.sdk.trace.samplers.Sampler;
import io.vertx.core.MultiMap;
import java.util.Collection;
import org.acaciapond.node.proxy.HopSpan;
import org.acaciapond.node.proxy.HopTracer;
import org.jspecify.annotations.Nullable;

/** Hop tracer based on OpenTelemetry with W3C trace context; closing it exports pending spans. */
public final class OpenTelemetryHopTracer implements HopTracer {

  private static final double MILLION = 1_000_000;
  private static final int SERVER_ERROR = 500;
  private static final AttributeKey<Long> STATUS = AttributeKey.longKey("http.status_code");
  private static final AttributeKey<String> END = AttributeKey.stringKey("acaciapond.end");
  private static final W3CTraceContextPropagator TRACE_CONTEXT =
      W3CTraceContextPropagator.getInstance();

  private static final TextMapGetter<MultiMap> HEADER_GETTER =
      new TextMapGetter<>() {
        @Override
        public Iterable<String> keys(MultiMap headers) {
          return headers.names();
        }

        @Override
        public @Nullable String get(@Nullable MultiMap headers, String key) {
          return headers == null ? null : headers.get(key);
        }
      };

  private final SdkTracerProvider provider;
  private final Tracer tracer;

  /**
   * Creates a tracer.
   *
   * @param tracesPerMillion sampled traces per million that start at this node; for a trace that a
   *     caller started, the sampling decision of the caller applies
   */
  public OpenTelemetryHopTracer(long tracesPerMillion, SpanSink sink) {
    Sampler sampler = Sampler.parentBased(Sampler.traceIdRatioBased(tracesPerMillion / MILLION));
    this.provider =
        SdkTracerProvider.builder()
            .setSampler(sampler)
            .addSpanProcessor(BatchSpanProcessor.builder(new SinkExporter(sink)).build())
            .build();
    this.tracer = provider.get("acaciapond");
  }

  @Override
  public HopSpan start(String name, MultiMap headers) {
    Context parent = TRACE_CONTEXT.extract(Context.root(), headers, HEADER_GETTER);
    Span span = tracer.spanBuilder(name).setParent(parent).setSpanKind(SpanKind.SERVER).startSpan();
    return new OpenTelemetryHopSpan(span, parent.with(span));
  }

  @Override
  public void close() {
    provider.close();
  }

  private record OpenTelemetryHopSpan(Span span, Context context) implements HopSpan {

    @Override
    public void inject(MultiMap headers) {
      TRACE_CONTEXT.inject(context, headers, (carrier, key, value) -> headers.set(key, value));
    }

    @Override
    public void end(int status, String end) {
      span.setAttribute(STATUS, (long) status);
      span.setAttribute(END, end);
      if (status >= SERVER_ERROR) {
        span.setStatus(StatusCode.ERROR);
      }
      span.end();
    }
  }

  private record SinkExporter(SpanSink sink) implements SpanExporter {

    @Override
    public CompletableResultCode export(Collection<SpanData> spans) {
      spans.forEach(span -> sink.accept(toFinishedSpan(span)));
      return CompletableResultCode.ofSuccess();
    }

    private static FinishedSpan toFinishedSpan(SpanData span) {
      Long status = span.getAttributes().get(STATUS);
      String end = span.getAttributes().get(END);
      return new FinishedSpan(
          span.getTraceId(),
          span.getSpanId(),
          span.getParentSpanId(),
          span.getName(),
          span.getStartEpochNanos(),
          span.getEndEpochNanos() - span.getStartEpochNanos(),
          status == null ? 0 : status,
          end == null ? "" : end);
    }

    @Override
    public CompletableResultCode flush() {
      return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode shutdown() {
      return CompletableResultCode.ofSuccess();
    }
  }
}
