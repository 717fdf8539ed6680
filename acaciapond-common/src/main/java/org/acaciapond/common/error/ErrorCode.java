package org.acaciapond.common.error;

/** Stable identifier of an error, shown in messages, logs and metrics. */
public interface ErrorCode {

  /** Returns the identifier, for example {@code PLATFORM_UNAVAILABLE}. */
  String name();
}
