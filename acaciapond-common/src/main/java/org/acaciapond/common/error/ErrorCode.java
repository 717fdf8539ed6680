package org.acaciapond.common.error;

/** Stable identifier of an error, as shown in messages, logs and metrics. */
public interface ErrorCode {

  /** Returns the code, for example {@code PLATFORM_UNAVAILABLE}. */
  String name();
}
