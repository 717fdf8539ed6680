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

/** Tracer of hops by OpenTelemetry with W3C trace context; closing it exports what is pending. */
public final class OpenTelemetryHopTracer implements HopTracer {

  private static final double MILLION = 1_000_000;
  private static final int SERVER_ERROR = 500;
  private static final AttributeKey<Long> STATUS = AttributeKey.longKey("http.status_code");
  private static final AttributeKey<String> END = AttributeKey.stringKey("acaciapond.end");
  private static final W3CTraceContextPropagator W3C = W3CTraceContextPropagator.getInstance();

  private static final TextMapGetter<MultiMap> GETTER =
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
   * @param perMillion traces kept of each million that start here; a trace that a caller started is
   *     kept as the caller decided
   */
  public OpenTelemetryHopTracer(long perMillion, SpanSink sink) {
    Sampler sampler = Sampler.parentBased(Sampler.traceIdRatioBased(perMillion / MILLION));
    this.provider =
        SdkTracerProvider.builder()
            .setSampler(sampler)
            .addSpanProcessor(BatchSpanProcessor.builder(new SinkExporter(sink)).build())
            .build();
    this.tracer = provider.get("acaciapond");
  }

  @Override
  public HopSpan start(String name, MultiMap headers) {
    Context parent = W3C.extract(Context.root(), headers, GETTER);
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
      W3C.inject(context, headers, (carrier, key, value) -> headers.set(key, value));
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
      spans.forEach(span -> sink.accept(finished(span)));
      return CompletableResultCode.ofSuccess();
    }

    private static FinishedSpan finished(SpanData span) {
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
