package org.acaciapond.node.telemetry;

/** Receiver of finished spans; called on a thread of the tracer, never on an event loop. */
@FunctionalInterface
public interface SpanSink {

  /** Receives one span. */
  void accept(FinishedSpan span);
}
