package org.acaciapond.common.error;

import org.jspecify.annotations.Nullable;

/** Base of all unchecked exceptions of the system; carries an error code. */
public abstract class AcaciapondException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final transient ErrorCode code;

  /**
   * Creates an exception.
   *
   * @param code what went wrong
   * @param message details in plain English
   * @param cause error of the layer below, if any
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
