package org.acaciapond.mesh.store;

import org.acaciapond.common.error.ErrorCode;

/** Error codes of the store's port. */
public enum StoreErrorCode implements ErrorCode {
  /** The store cannot be reached or turned the call away. */
  STORE_UNAVAILABLE,
  /** The store no longer holds the history that was asked for. */
  HISTORY_GONE,
  /** The store's answer cannot be read. */
  STORE_ANSWER_INVALID
}
