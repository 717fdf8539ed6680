package org.acaciapond.node.proxy;

import io.vertx.core.MultiMap;
import org.jspecify.annotations.Nullable;

/** Tracer that starts the spans of calls at this hop. */
@FunctionalInterface
public interface HopTracer extends AutoCloseable {

  /** Tracer that records nothing; the trace context of the caller is forwarded unchanged. */
  HopTracer NONE = (name, headers) -> null;

  /** Starts a span as a child of the context in the headers; returns null if none is recorded. */
  @Nullable HopSpan start(String name, MultiMap headers);

  /** Exports the pending spans; may block. */
  @Override
  default void close() {}
}
