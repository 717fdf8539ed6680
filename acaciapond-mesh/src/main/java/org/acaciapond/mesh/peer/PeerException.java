package org.acaciapond.mesh.peer;

import org.acaciapond.common.error.AcaciapondException;
import org.jspecify.annotations.Nullable;

/** Error of the protocol between nodes. */
public final class PeerException extends AcaciapondException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with an error code, a message and an optional cause. */
  public PeerException(PeerErrorCode code, String message, @Nullable Throwable cause) {
    super(code, message, cause);
  }
}
