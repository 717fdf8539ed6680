package org.acaciapond.protocol.codec;

import org.acaciapond.common.error.AcaciapondException;
import org.jspecify.annotations.Nullable;

/** Error of the protocol layer. */
public final class ProtocolException extends AcaciapondException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception. */
  public ProtocolException(ProtocolErrorCode code, String message, @Nullable Throwable cause) {
    super(code, message, cause);
  }
}
