package org.acaciapond.platform.client;

import org.acaciapond.common.error.AcaciapondException;
import org.jspecify.annotations.Nullable;

/** Error of the platform client. */
public final class PlatformException extends AcaciapondException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception. */
  public PlatformException(PlatformErrorCode code, String message, @Nullable Throwable cause) {
    super(code, message, cause);
  }
}
