package org.acaciapond.node.proxy;

import io.vertx.core.MultiMap;
import org.jspecify.annotations.Nullable;

/** Starter of the spans of hops. */
@FunctionalInterface
public interface HopTracer extends AutoCloseable {

  /** Tracer that records nothing; the trace context of the caller is passed on as it is. */
  HopTracer NONE = (name, headers) -> null;

  /** Starts a span as a child of the context in the headers, or returns null when none is kept. */
  @Nullable HopSpan start(String name, MultiMap headers);

  /** Exports the spans that are pending; may block. */
  @Override
  default void close() {}
}
