package org.acaciapond.node.membership;

import org.acaciapond.common.error.AcaciapondException;
import org.jspecify.annotations.Nullable;

/** Error in an announcement of the own target. */
public final class TargetException extends AcaciapondException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception. */
  public TargetException(String message, @Nullable Throwable cause) {
    super(TargetErrorCode.TARGET_ANNOUNCEMENT_INVALID, message, cause);
  }
}
