package org.acaciapond.mesh.store;

import org.acaciapond.common.error.ErrorCode;

/** Error codes of the store's client. */
public enum StoreErrorCode implements ErrorCode {
  /** The store cannot be reached or rejected the call. */
  STORE_UNAVAILABLE,
  /** The store has dropped the requested part of its history. */
  HISTORY_GONE,
  /** The store's response cannot be decoded. */
  STORE_ANSWER_INVALID
}
