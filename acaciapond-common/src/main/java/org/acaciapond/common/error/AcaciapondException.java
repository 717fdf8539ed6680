package org.acaciapond.common.error;

import org.jspecify.annotations.Nullable;

/** Base class of all unchecked exceptions of the system, with an error code. */
public abstract class AcaciapondException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final transient ErrorCode code;

  /**
   * Creates an exception.
   *
   * @param code error code
   * @param message details for people
   * @param cause error that caused this one, if any
   */
  protected AcaciapondException(ErrorCode code, String message, @Nullable Throwable cause) {
    super(code.name() + ": " + message, cause);
    this.code = code;
  }

  /** Returns the error code. */
  public ErrorCode code() {
    return code;
  }
}
