package org.acaciapond.node.telemetry;

/** Sink for finished spans; called on an exporter thread of the tracer, never on an event loop. */
@FunctionalInterface
public interface SpanSink {

  /** Receives one span. */
  void accept(FinishedSpan span);
}
