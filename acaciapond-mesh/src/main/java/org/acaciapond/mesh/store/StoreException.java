package org.acaciapond.mesh.store;

import org.acaciapond.common.error.AcaciapondException;
import org.jspecify.annotations.Nullable;

/** Error of the store's port. */
public final class StoreException extends AcaciapondException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception. */
  public StoreException(StoreErrorCode code, String message, @Nullable Throwable cause) {
    super(code, message, cause);
  }
}
