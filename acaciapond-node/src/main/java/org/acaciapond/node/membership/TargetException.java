package org.acaciapond.node.membership;

import org.acaciapond.common.error.AcaciapondException;
import org.jspecify.annotations.Nullable;

/** Exception for an invalid announcement of the local target. */
public final class TargetException extends AcaciapondException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with the code TARGET_ANNOUNCEMENT_INVALID. */
  public TargetException(String message, @Nullable Throwable cause) {
    super(TargetErrorCode.TARGET_ANNOUNCEMENT_INVALID, message, cause);
  }
}
