package org.acaciapond.http;

import org.acaciapond.common.error.AcaciapondException;

/** Failure to decode a response. */
public final class InvalidResponseException extends AcaciapondException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception. */
  public InvalidResponseException(ResponseErrorCode code, String message) {
    super(code, message, null);
  }
}
