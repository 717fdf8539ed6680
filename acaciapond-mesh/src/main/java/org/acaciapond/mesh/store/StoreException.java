package org.acaciapond.mesh.store;

import org.acaciapond.common.error.AcaciapondException;
import org.jspecify.annotations.Nullable;

/** Failure of a call to the store. */
public final class StoreException extends AcaciapondException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception. */
  public StoreException(StoreErrorCode code, String message, @Nullable Throwable cause) {
    super(code, message, cause);
  }
}
