package org.acaciapond.http;

import org.jspecify.annotations.Nullable;

/**
 * Reports errors after which a process cannot go on. Event loops catch all that is thrown on a
 * connection, so a process without memory would otherwise stay and answer nothing.
 */
public final class UnrecoverableErrors {

  private UnrecoverableErrors() {}

  /** Passes an error of memory to the handler of uncaught exceptions, if there is one. */
  public static void report(@Nullable Throwable error) {
    Thread.UncaughtExceptionHandler handler = Thread.getDefaultUncaughtExceptionHandler();
    if (error instanceof OutOfMemoryError && handler != null) {
      handler.uncaughtException(Thread.currentThread(), error);
    }
  }
}
